import { bucketCount, bucketOf, formatLine, joinLines } from './_buckets.ts';
import { formatDifference, computeDifference } from './difference.ts';
import type { SetParts } from './setParts.ts';
import { formatManifest, manifestDigest } from './manifest.ts';
import type { Part } from './manifest.ts';
import { OBJECT_KINDS } from './objects.ts';
import type { ObjectKind, SetObject } from './objects.ts';
import { sha256 } from './sha256.ts';

/** Size limit of a value in the configuration service, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/** Name of the value that refers to the current set. */
export const HEAD_NAME = 'head';

/** The value that refers to the current set; written last, so that all others exist. */
export type SetHead = {
  /** Version of the packed form. */
  readonly format: 2;
  readonly generation: number;
  /** Digest of the manifest: SHA-256 in hexadecimal. */
  readonly digest: string;
};

/** One key and value for the configuration service. */
export type PackedValue = { readonly name: string; readonly text: string };

/** The values of a set, in the order in which they must be written. */
export type PackedSet = {
  readonly head: SetHead;
  /** All values except the parts that the previous set already contains. */
  readonly values: readonly PackedValue[];
  /** All parts of the set. */
  readonly setParts: SetParts;
};

/** Returns the name of the value that holds the part with a digest. */
export function partName(digest: string): string {
  return `parts/${digest}`;
}

/** Returns the name of the value that holds the manifest of a set. */
export function manifestName(digest: string): string {
  return `manifests/${digest}`;
}

/** Returns the name of the value that holds the difference from a set to its successor. */
export function differenceName(fromDigest: string): string {
  return `differences/${fromDigest}`;
}

function packBuckets(lines: readonly (readonly [string, string])[]): string[] {
  const bytes = lines.reduce((sum, [, line]) => sum + line.length + 1, 0);
  const count = lines.length === 0 ? 0 : bucketCount(bytes);
  const buckets: string[][] = Array.from({ length: count }, () => []);
  lines.forEach(([name, line]) => buckets[bucketOf(name, count)]!.push(line));
  return buckets.map(joinLines);
}

/** Partitions the objects of a set into parts. */
export function packParts(objects: readonly SetObject[]): SetParts {
  const byKind = new Map<ObjectKind, [string, string][]>();
  for (const object of objects) {
    const lines = byKind.get(object.kind) ?? [];
    byKind.set(object.kind, lines);
    lines.push([object.name, formatLine(object)]);
  }
  const manifest: Part[] = [];
  const texts = new Map<string, string>();
  for (const kind of OBJECT_KINDS) {
    for (const text of packBuckets(byKind.get(kind) ?? [])) {
      const digest = sha256(text);
      manifest.push({ kind, digest });
      texts.set(digest, text);
    }
  }
  return { digest: manifestDigest(manifest), manifest, texts };
}

/**
 * Packs a valid set into values for the configuration service.
 *
 * @param objects The objects of a valid set.
 * @param generation The set's generation; must exceed that of the set in force.
 * @param previous The set in force, from which a difference is computed.
 * @returns The new parts, the manifest, any difference that fits into a value, then the head.
 */
export function packSet(
  objects: readonly SetObject[],
  generation: number,
  previous?: SetParts,
): PackedSet {
  const setParts = packParts(objects);
  const { digest, manifest, texts } = setParts;
  const head: SetHead = { format: 2, generation, digest };
  const parts = [...texts]
    .filter(([part]) => previous?.texts.has(part) !== true)
    .map(([part, text]) => ({ name: partName(part), text }));
  const values = [...parts, { name: manifestName(digest), text: formatManifest(manifest) }];
  const difference = previous === undefined ? undefined : computeDifference(previous, setParts);
  if (difference !== undefined) {
    const text = formatDifference(difference);
    if (text.length <= MAX_VALUE_BYTES) {
      values.push({ name: differenceName(difference.from), text });
    }
  }
  return {
    head,
    values: [...values, { name: HEAD_NAME, text: JSON.stringify(head) }],
    setParts,
  };
}
