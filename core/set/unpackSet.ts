import { z } from 'zod';
import { applyDifference, parseDifference } from './difference.ts';
import { missingParts } from './holding.ts';
import type { Holding, Scope } from './holding.ts';
import { parseManifest } from './manifest.ts';
import { differenceName, manifestName, partName } from './packSet.ts';
import type { SetHead } from './packSet.ts';
import { sha256 } from './sha256.ts';

/** A value of the configuration service that cannot be used, and the remedy. */
export type UnreadableValue = { readonly kind: 'unreadable'; readonly detail: string };

const headSchema = z.strictObject({
  format: z.literal(2),
  generation: z.int().min(1),
  digest: z.string().regex(/^[0-9a-f]{64}$/),
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
  if (result.success) return result.data;
  const where = result.error.issues[0]?.path.join('.') ?? '';
  return unreadable(
    `the head's "${where}" is wrong; publish it again with "hyssopspread set pack"`,
  );
}

/** Reads a value by name; resolves to `undefined` when there is none. */
export type ReadValue = (name: string) => Promise<string | undefined>;

/** Differences that a reader follows before it compares manifests instead. */
const MOST_DIFFERENCES = 64;

const READS_AT_ONCE = 4;

async function followDifferences(
  start: Holding,
  head: SetHead,
  read: ReadValue,
  scope: Scope,
): Promise<Holding | undefined> {
  let holding = start;
  for (let step = 0; step < MOST_DIFFERENCES; step += 1) {
    if (holding.digest === head.digest) return holding;
    const text = await read(differenceName(holding.digest));
    const difference = text === undefined ? undefined : parseDifference(text);
    const next = difference && applyDifference(holding, difference, scope);
    if (next === undefined) return undefined;
    holding = next;
  }
  return holding.digest === head.digest ? holding : undefined;
}

async function readParts(
  holding: Holding,
  read: ReadValue,
  scope: Scope,
): Promise<Holding | UnreadableValue> {
  const texts = new Map(holding.texts);
  const missing = missingParts(holding, scope);
  for (let start = 0; start < missing.length; start += READS_AT_ONCE) {
    const digests = missing.slice(start, start + READS_AT_ONCE);
    const values = await Promise.all(digests.map((digest) => read(partName(digest))));
    for (const [index, text] of values.entries()) {
      const digest = digests[index]!;
      if (text === undefined) {
        return unreadable(`part ${digest} is missing; put it before the head`);
      }
      if (sha256(text) !== digest) return unreadable(`part ${digest} is damaged; put it again`);
      texts.set(digest, text);
    }
  }
  return { ...holding, texts };
}

/**
 * Reads the set that a head names: by differences from what is held, otherwise by its manifest and
 * the parts that are not held.
 *
 * @param head A head from `parseHead`.
 * @param read Reads values by name.
 * @param scope The kinds whose parts are wanted.
 * @param held What the reader holds.
 */
export async function unpackSet(
  head: SetHead,
  read: ReadValue,
  scope: Scope,
  held?: Holding,
): Promise<Holding | UnreadableValue> {
  const followed = held && (await followDifferences(held, head, read, scope));
  if (followed !== undefined) return followed;
  const text = await read(manifestName(head.digest));
  if (text === undefined) return unreadable('the manifest is missing; put it before the head');
  if (sha256(text) !== head.digest) return unreadable('the manifest is damaged; put it again');
  const manifest = parseManifest(text);
  if (manifest === undefined) return unreadable('the manifest is malformed; pack the set again');
  const wanted = new Set(manifest.map(({ digest }) => digest));
  const kept = [...(held?.texts ?? [])].filter(([digest]) => wanted.has(digest));
  return readParts({ digest: head.digest, manifest, texts: new Map(kept) }, read, scope);
}
