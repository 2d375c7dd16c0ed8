import { createHash } from 'node:crypto';
import type { SetObject } from './objects.ts';

/** The largest value that the configuration service holds, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/** The name of the value that names all others. */
export const HEAD_NAME = 'head';

const PART_TARGET_BYTES = 64_000;

/** The value that is put last and names a whole set. */
export type SetHead = {
  readonly format: 1;
  readonly generation: number;
  /** SHA-256 over the names of the parts, in hexadecimal. */
  readonly digest: string;
  /** The SHA-256 of each part, in hexadecimal. */
  readonly parts: readonly string[];
};

/** One value for the configuration service. */
export type PackedValue = { readonly name: string; readonly text: string };

/** All values of a set in the order in which they must be put. */
export type PackedSet = { readonly head: SetHead; readonly values: readonly PackedValue[] };

/** Returns the SHA-256 of a text in hexadecimal. */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Returns the name of the value that holds a part. */
export function partName(digest: string): string {
  return `parts/${digest}`;
}

/** Returns the digest of a set whose parts have the given digests. */
export function setDigest(parts: readonly string[]): string {
  return sha256(parts.join('\n'));
}

/** Spreads lines over buckets by hash, so that one change touches one part. */
function bucketLines(lines: readonly string[], names: readonly string[]): readonly string[][] {
  const size = lines.reduce((sum, line) => sum + line.length + 1, 0);
  const count = 2 ** Math.max(0, Math.ceil(Math.log2(size / PART_TARGET_BYTES)));
  const buckets: string[][] = Array.from({ length: count }, () => []);
  lines.forEach((line, index) => {
    const bucket = Number.parseInt(sha256(names[index]!).slice(0, 8), 16) % count;
    buckets[bucket]!.push(line);
  });
  return buckets;
}

/**
 * Packs a checked set into values for the configuration service.
 *
 * @param objects The objects of a set that passed its check.
 * @param generation Higher than that of the set in force.
 * @returns The parts, then the head.
 */
export function packSet(objects: readonly SetObject[], generation: number): PackedSet {
  const named = objects
    .map((object) => ({ name: `${object.kind} ${object.name}`, line: JSON.stringify(object) }))
    .sort((a, b) => (a.name < b.name ? -1 : 1));
  const buckets = bucketLines(
    named.map(({ line }) => line),
    named.map(({ name }) => name),
  );
  const texts = buckets.map((lines) => lines.join('\n'));
  const parts = texts.map(sha256);
  const head: SetHead = { format: 1, generation, digest: setDigest(parts), parts };
  const values = texts.map((text, index) => ({ name: partName(parts[index]!), text }));
  return { head, values: [...values, { name: HEAD_NAME, text: JSON.stringify(head) }] };
}
