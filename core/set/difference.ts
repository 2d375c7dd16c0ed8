import { z } from 'zod';
import { joinLines, nameInLine, splitLines } from './_buckets.ts';
import type { SetParts, KindScope } from './setParts.ts';
import { manifestDigest } from './manifest.ts';
import type { Manifest } from './manifest.ts';
import { sha256 } from './sha256.ts';

/** Changes to one part. */
export type PartDifference = {
  /** Index of the part in the manifest. */
  readonly index: number;
  /** Digest of the part after the changes. */
  readonly digest: string;
  /** Lines to add, or to replace those of the same name with. */
  readonly put: readonly string[];
  /** Names of the objects to remove. */
  readonly remove: readonly string[];
};

/** Changes that turn one set into another; `from` and `to` are the digests of these sets. */
export type SetDifference = {
  readonly from: string;
  readonly to: string;
  readonly parts: readonly PartDifference[];
};

const digestSchema = z.string().regex(/^[0-9a-f]{64}$/);

const differenceSchema = z.strictObject({
  from: digestSchema,
  to: digestSchema,
  parts: z.array(
    z.strictObject({
      index: z.int().min(0),
      digest: digestSchema,
      put: z.array(z.string()),
      remove: z.array(z.string()),
    }),
  ),
});

function comparePart(index: number, digest: string, before: string, after: string): PartDifference {
  const oldLines = new Set(splitLines(before));
  const lines = splitLines(after);
  const names = new Set(lines.map(nameInLine));
  return {
    index,
    digest,
    put: lines.filter((line) => !oldLines.has(line)),
    remove: [...oldLines].map(nameInLine).filter((name) => !names.has(name)),
  };
}

function haveSameBuckets(before: Manifest, after: Manifest): boolean {
  if (before.length !== after.length) return false;
  return before.every(({ kind }, index) => kind === after[index]!.kind);
}

/**
 * Computes the difference between two sets of which the process holds all parts.
 *
 * @returns The difference, or `undefined` when the number of buckets of a kind differs.
 */
export function computeDifference(before: SetParts, after: SetParts): SetDifference | undefined {
  if (!haveSameBuckets(before.manifest, after.manifest)) return undefined;
  const parts = after.manifest.flatMap(({ digest }, index): PartDifference[] => {
    const old = before.manifest[index]!.digest;
    if (old === digest) return [];
    return [comparePart(index, digest, before.texts.get(old)!, after.texts.get(digest)!)];
  });
  return { from: before.digest, to: after.digest, parts };
}

/** Serializes a difference as JSON. */
export function formatDifference(difference: SetDifference): string {
  return JSON.stringify(difference);
}

/**
 * Parses and validates a serialized difference.
 *
 * @returns The difference, or `undefined` when the text is invalid.
 */
export function parseDifference(text: string): SetDifference | undefined {
  try {
    const result = differenceSchema.safeParse(JSON.parse(text));
    return result.success ? result.data : undefined;
  } catch {
    return undefined;
  }
}

function applyPartDifference(text: string, { put, remove }: PartDifference): string {
  const lines = new Map(splitLines(text).map((line) => [nameInLine(line), line]));
  remove.forEach((name) => lines.delete(name));
  put.forEach((line) => lines.set(nameInLine(line), line));
  return joinLines(lines.values());
}

/**
 * Applies a difference to the parts that a process holds, and verifies the digests of the result.
 *
 * @param setParts The parts of the set from which the difference starts.
 * @param difference The changes.
 * @param scope The kinds whose parts are held.
 * @returns The parts of the next set, or `undefined` when the difference starts from another set or
 *   a digest does not match.
 */
export function applyDifference(
  setParts: SetParts,
  difference: SetDifference,
  scope: KindScope,
): SetParts | undefined {
  if (difference.from !== setParts.digest) return undefined;
  const manifest = [...setParts.manifest];
  const texts = new Map(setParts.texts);
  for (const part of difference.parts) {
    const old = manifest[part.index];
    if (old === undefined) return undefined;
    manifest[part.index] = { kind: old.kind, digest: part.digest };
    if (scope.has(old.kind)) {
      const before = texts.get(old.digest);
      if (before === undefined) return undefined;
      const text = applyPartDifference(before, part);
      if (sha256(text) !== part.digest) return undefined;
      texts.set(part.digest, text);
    }
  }
  if (manifestDigest(manifest) !== difference.to) return undefined;
  const referencedDigests = new Set(manifest.map(({ digest }) => digest));
  [...texts.keys()]
    .filter((digest) => !referencedDigests.has(digest))
    .forEach((digest) => {
      texts.delete(digest);
    });
  return { digest: difference.to, manifest, texts };
}
