import { z } from 'zod';
import { applyDifference, parseDifference } from './difference.ts';
import { missingParts } from './setParts.ts';
import type { SetParts, KindScope } from './setParts.ts';
import { parseManifest } from './manifest.ts';
import { differenceName, manifestName, partName } from './packSet.ts';
import type { SetHead } from './packSet.ts';
import { sha256 } from './sha256.ts';

/** A missing or invalid value of the configuration service, with the remedy. */
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
 * Parses the head of a set.
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
  const field = result.error.issues[0]?.path.join('.') ?? '';
  return unreadable(
    `the head has an invalid "${field}"; publish it again with "hyssopspread set pack"`,
  );
}

/** Reads a value by name; resolves to `undefined` when it does not exist. */
export type ReadValue = (name: string) => Promise<string | undefined>;

/** Number of consecutive differences to apply before falling back to the manifest. */
const MAX_CHAINED_DIFFERENCES = 64;

/** Maximum number of parts to read concurrently. */
const MAX_CONCURRENT_READS = 4;

async function applyDifferences(
  start: SetParts,
  head: SetHead,
  readValue: ReadValue,
  scope: KindScope,
): Promise<SetParts | undefined> {
  let setParts = start;
  for (let step = 0; step < MAX_CHAINED_DIFFERENCES; step += 1) {
    if (setParts.digest === head.digest) return setParts;
    const text = await readValue(differenceName(setParts.digest));
    const difference = text === undefined ? undefined : parseDifference(text);
    const next = difference && applyDifference(setParts, difference, scope);
    if (next === undefined) return undefined;
    setParts = next;
  }
  return setParts.digest === head.digest ? setParts : undefined;
}

async function readParts(
  setParts: SetParts,
  readValue: ReadValue,
  scope: KindScope,
): Promise<SetParts | UnreadableValue> {
  const texts = new Map(setParts.texts);
  const missing = missingParts(setParts, scope);
  for (let start = 0; start < missing.length; start += MAX_CONCURRENT_READS) {
    const digests = missing.slice(start, start + MAX_CONCURRENT_READS);
    const values = await Promise.all(digests.map((digest) => readValue(partName(digest))));
    for (const [index, text] of values.entries()) {
      const digest = digests[index]!;
      if (text === undefined) {
        return unreadable(`part ${digest} is missing; write it before the head`);
      }
      if (sha256(text) !== digest) return unreadable(`part ${digest} is corrupted; write it again`);
      texts.set(digest, text);
    }
  }
  return { ...setParts, texts };
}

/**
 * Reads the set to which a head refers.
 *
 * Applies differences to the held set if possible; otherwise reads the manifest and the parts that
 * are not held.
 *
 * @param head A head from `parseHead`.
 * @param readValue Reads values by name.
 * @param scope The kinds whose parts are needed.
 * @param held The set that the reader already holds.
 */
export async function unpackSet(
  head: SetHead,
  readValue: ReadValue,
  scope: KindScope,
  held?: SetParts,
): Promise<SetParts | UnreadableValue> {
  const updated = held && (await applyDifferences(held, head, readValue, scope));
  if (updated !== undefined) return updated;
  const text = await readValue(manifestName(head.digest));
  if (text === undefined) return unreadable('the manifest is missing; write it before the head');
  if (sha256(text) !== head.digest) return unreadable('the manifest is corrupted; write it again');
  const manifest = parseManifest(text);
  if (manifest === undefined) return unreadable('the manifest is malformed; pack the set again');
  const referencedDigests = new Set(manifest.map(({ digest }) => digest));
  const kept = [...(held?.texts ?? [])].filter(([digest]) => referencedDigests.has(digest));
  return readParts({ digest: head.digest, manifest, texts: new Map(kept) }, readValue, scope);
}
