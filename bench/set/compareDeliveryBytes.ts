import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  computeDifference,
  formatDifference,
  formatManifest,
  packParts,
} from '../../core/set/mod.ts';
import type { SetParts, SetObject } from '../../core/set/mod.ts';
import { createSampleSet } from '../capacity/mod.ts';

/** Bytes that a reader must read to catch up with some changes, by delivery method. */
export type DeliveryBytes = {
  readonly reader: string;
  readonly changes: number;
  /** The manifest and each changed part. */
  readonly parts: number;
  /** One difference for each change. */
  readonly differences: number;
  /** One difference from the version that the reader has to the current one. */
  readonly mergedDifference: number;
  /** A bitmap of the 4 KB blocks of all parts, and each changed block. */
  readonly blockBitmap: number;
};

const BLOCK_BYTES = 4096;

const BITS_PER_BYTE = 8;

const CHANGES_PER_DAY = 27_000;

const SECONDS_PER_DAY = 86_400;

const SMALL_SET_ADAPTERS = 3000;

const SAMPLED_CHANGES = 40;

const SEED = 6;

function changesWithin(seconds: number): number {
  return Math.round((CHANGES_PER_DAY * seconds) / SECONDS_PER_DAY);
}

/** Adds a version to `changes` adapters drawn at random with replacement. */
function addVersions(
  objects: readonly SetObject[],
  changes: number,
  seed: number,
): readonly SetObject[] {
  const random = xoroshiro128plus(seed);
  const changed = [...objects];
  const adapters = objects.flatMap(({ kind }, index) => (kind === 'adapter' ? [index] : []));
  for (let done = 0; done < changes; done += 1) {
    const index = adapters[uniformInt(random, 0, adapters.length - 1)]!;
    const object = changed[index]!;
    if (object.kind === 'adapter') {
      const next = String(object.versions.length + 1);
      changed[index] = { ...object, versions: [...object.versions, next] };
    }
  }
  return changed;
}

function splitBlocks(text: string): readonly string[] {
  const blocks: string[] = [];
  for (let start = 0; start < text.length; start += BLOCK_BYTES) {
    blocks.push(text.slice(start, start + BLOCK_BYTES));
  }
  return blocks;
}

function blockBitmapBytes(before: SetParts, after: SetParts): number {
  let blocks = 0;
  let changed = 0;
  after.manifest.forEach(({ digest }, index) => {
    const old = splitBlocks(before.texts.get(before.manifest[index]?.digest ?? '') ?? '');
    splitBlocks(after.texts.get(digest)!).forEach((block, blockIndex) => {
      blocks += 1;
      if (block !== old[blockIndex]) changed += block.length;
    });
  });
  return Math.ceil(blocks / BITS_PER_BYTE) + changed;
}

function changedPartBytes(before: SetParts, after: SetParts): number {
  const missing = [...after.texts].filter(([digest]) => !before.texts.has(digest));
  const texts = missing.reduce((sum, [, text]) => sum + text.length, 0);
  return formatManifest(after.manifest).length + texts;
}

/** Returns the mean size in bytes of the difference for a single change. */
function meanDifferenceBytes(): number {
  let objects = createSampleSet(SMALL_SET_ADAPTERS);
  let bytes = 0;
  for (let done = 0; done < SAMPLED_CHANGES; done += 1) {
    const next = addVersions(objects, 1, SEED + done);
    bytes += formatDifference(computeDifference(packParts(objects), packParts(next))!).length;
    objects = next;
  }
  return bytes / SAMPLED_CHANGES;
}

/**
 * Compares the bytes of several ways to deliver set changes to a reader.
 *
 * @param adapters Number of adapters in the set.
 * @returns One row for each lag of the reader.
 */
export function compareDeliveryBytes(adapters: number): readonly DeliveryBytes[] {
  const objects = createSampleSet(adapters);
  const before = packParts(objects);
  const single = meanDifferenceBytes();
  const readers = [
    ['in step', 1],
    ['a minute behind', changesWithin(60)],
    ['an hour behind', changesWithin(3600)],
    ['a day behind', changesWithin(SECONDS_PER_DAY)],
  ] as const;
  const rows = readers.map(([reader, changes]): DeliveryBytes => {
    const after = packParts(addVersions(objects, changes, SEED));
    const merged = computeDifference(before, after);
    return {
      reader,
      changes,
      parts: changedPartBytes(before, after),
      differences: Math.round(single * changes),
      mergedDifference: merged === undefined ? Number.NaN : formatDifference(merged).length,
      blockBitmap: blockBitmapBytes(before, after),
    };
  });
  const whole = changedPartBytes({ digest: '', manifest: [], texts: new Map() }, before);
  const empty = { differences: whole, mergedDifference: whole, blockBitmap: whole };
  return [...rows, { reader: 'empty', changes: 0, parts: whole, ...empty }];
}
