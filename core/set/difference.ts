import { z } from 'zod';
import { joinLines, lineName, splitLines } from './_buckets.ts';
import type { Holding, Scope } from './holding.ts';
import { manifestDigest } from './manifest.ts';
import type { Manifest } from './manifest.ts';
import { sha256 } from './sha256.ts';

/** What a part gains and loses. */
export type PartDifference = {
  /** The part's place in the manifest. */
  readonly index: number;
  /** The digest of the part after the change. */
  readonly digest: string;
  /** Lines that are added or replace those of the same name. */
  readonly put: readonly string[];
  /** Names of objects that are removed. */
  readonly remove: readonly string[];
};

/** What leads from one set to the next. */
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
  const old = new Set(splitLines(before));
  const lines = splitLines(after);
  const names = new Set(lines.map(lineName));
  return {
    index,
    digest,
    put: lines.filter((line) => !old.has(line)),
    remove: [...old].map(lineName).filter((name) => !names.has(name)),
  };
}

function haveSameBuckets(before: Manifest, after: Manifest): boolean {
  if (before.length !== after.length) return false;
  return before.every(({ kind }, index) => kind === after[index]!.kind);
}

/**
 * Compares two whole holdings.
 *
 * @returns The difference, or `undefined` when the objects are spread over other buckets.
 */
export function compareHoldings(before: Holding, after: Holding): SetDifference | undefined {
  if (!haveSameBuckets(before.manifest, after.manifest)) return undefined;
  const parts = after.manifest.flatMap(({ digest }, index): PartDifference[] => {
    const old = before.manifest[index]!.digest;
    if (old === digest) return [];
    return [comparePart(index, digest, before.texts.get(old)!, after.texts.get(digest)!)];
  });
  return { from: before.digest, to: after.digest, parts };
}

/** Writes a difference as text. */
export function formatDifference(difference: SetDifference): string {
  return JSON.stringify(difference);
}

/**
 * Reads a difference.
 *
 * @returns The difference, or `undefined` when the text is not one.
 */
export function parseDifference(text: string): SetDifference | undefined {
  try {
    const result = differenceSchema.safeParse(JSON.parse(text));
    return result.success ? result.data : undefined;
  } catch {
    return undefined;
  }
}

function changeText(text: string, { put, remove }: PartDifference): string {
  const lines = new Map(splitLines(text).map((line) => [lineName(line), line]));
  remove.forEach((name) => lines.delete(name));
  put.forEach((line) => lines.set(lineName(line), line));
  return joinLines(lines.values());
}

/**
 * Applies a difference to the parts that a process holds.
 *
 * @param holding The parts of the set at which the difference starts.
 * @param difference Where it leads.
 * @param scope The kinds whose parts are held.
 * @returns The next holding, or `undefined` when a digest does not fit.
 */
export function applyDifference(
  holding: Holding,
  difference: SetDifference,
  scope: Scope,
): Holding | undefined {
  if (difference.from !== holding.digest) return undefined;
  const manifest = [...holding.manifest];
  const texts = new Map(holding.texts);
  for (const part of difference.parts) {
    const old = manifest[part.index];
    if (old === undefined) return undefined;
    manifest[part.index] = { kind: old.kind, digest: part.digest };
    if (scope.has(old.kind)) {
      const before = texts.get(old.digest);
      if (before === undefined) return undefined;
      const text = changeText(before, part);
      if (sha256(text) !== part.digest) return undefined;
      texts.set(part.digest, text);
    }
  }
  if (manifestDigest(manifest) !== difference.to) return undefined;
  const wanted = new Set(manifest.map(({ digest }) => digest));
  [...texts.keys()]
    .filter((digest) => !wanted.has(digest))
    .forEach((digest) => {
      texts.delete(digest);
    });
  return { digest: difference.to, manifest, texts };
}
