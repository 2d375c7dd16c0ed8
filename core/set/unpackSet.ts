import { z } from 'zod';
import type { SetObject } from './objects.ts';
import { setDigest, sha256 } from './packSet.ts';
import type { SetHead } from './packSet.ts';
import { indexSet } from './publishedSet.ts';
import type { PublishedSet } from './publishedSet.ts';

/** A value of the configuration service that cannot be used, and the remedy. */
export type UnreadableValue = { readonly kind: 'unreadable'; readonly detail: string };

const headSchema = z.strictObject({
  format: z.literal(1),
  generation: z.int().min(1),
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  parts: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1),
});

function unreadable(detail: string): UnreadableValue {
  return { kind: 'unreadable', detail };
}

/**
 * Reads the head of a set.
 *
 * @param text The value as the configuration service returned it.
 */
export function parseHead(text: string): SetHead | UnreadableValue {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return unreadable('the head is not JSON; publish it again with "hyssopspread set pack"');
  }
  const result = headSchema.safeParse(value);
  if (!result.success) {
    const where = result.error.issues[0]?.path.join('.') ?? '';
    return unreadable(
      `the head's "${where}" is wrong; publish it again with "hyssopspread set pack"`,
    );
  }
  if (setDigest(result.data.parts) !== result.data.digest) {
    return unreadable('the digest does not fit the parts; publish the set again');
  }
  return result.data;
}

/**
 * Builds a published set from its head and parts.
 *
 * @param head A head from `parseHead`.
 * @param parts The text of each part by its digest.
 */
export function unpackSet(
  head: SetHead,
  parts: ReadonlyMap<string, string>,
): PublishedSet | UnreadableValue {
  const objects: SetObject[] = [];
  for (const digest of head.parts) {
    const text = parts.get(digest);
    if (text === undefined) return unreadable(`part ${digest} is missing; put it before the head`);
    if (sha256(text) !== digest) return unreadable(`part ${digest} is damaged; put it again`);
    const lines = text === '' ? [] : text.split('\n');
    objects.push(...lines.map((line) => JSON.parse(line) as SetObject));
  }
  return indexSet(objects, { generation: head.generation, digest: head.digest });
}
