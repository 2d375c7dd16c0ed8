import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  computeDifference,
  formatDifference,
  formatManifest,
  packParts,
} from '../../core/set/mod.ts';
import type { SetParts, SetObject } from '../../core/set/mod.ts';
import { sampleSet } from '../capacity/mod.ts';

/** Bytes that a reader behind by some changes reads by each way. */
export type WayBytes = {
  readonly reader: string;
  readonly changes: number;
  /** The manifest and each changed part. */
  readonly parts: number;
  /** One difference for each change. */
  readonly differences: number;
  /** One difference from what the reader holds to what is in force. */
  readonly mergedDifference: number;
  /** A bitmap of blocks of 4 KB within the parts, and each changed block. */
  readonly blockBitmap: number;
};

const BLOCK_BYTES = 4096;

const BITS_PER_BYTE = 8;

const CHANGES_PER_DAY = 27_000;

const SECONDS_PER_DAY = 86_400;

const SMALL_SET = 3000;

const SINGLE_CHANGES = 40;

const SEED = 6;

function changesIn(seconds: number): number {
  return Math.round((CHANGES_PER_DAY * seconds) / SECONDS_PER_DAY);
}

/** Gives a version more to adapters drawn at random, an adapter as often as it is drawn. */
function change(
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

function blocksOf(text: string): readonly string[] {
  const blocks: string[] = [];
  for (let start = 0; start < text.length; start += BLOCK_BYTES) {
    blocks.push(text.slice(start, start + BLOCK_BYTES));
  }
  return blocks;
}

function bitmapBytes(before: SetParts, after: SetParts): number {
  let blocks = 0;
  let changed = 0;
  after.manifest.forEach(({ digest }, index) => {
    const old = blocksOf(before.texts.get(before.manifest[index]?.digest ?? '') ?? '');
    blocksOf(after.texts.get(digest)!).forEach((block, place) => {
      blocks += 1;
      if (block !== old[place]) changed += block.length;
    });
  });
  return Math.ceil(blocks / BITS_PER_BYTE) + changed;
}

function partBytes(before: SetParts, after: SetParts): number {
  const missing = [...after.texts].filter(([digest]) => !before.texts.has(digest));
  const texts = missing.reduce((sum, [, text]) => sum + text.length, 0);
  return formatManifest(after.manifest).length + texts;
}

/** Returns the mean bytes of the difference that one change makes. */
function differenceBytes(): number {
  let objects = sampleSet(SMALL_SET);
  let bytes = 0;
  for (let done = 0; done < SINGLE_CHANGES; done += 1) {
    const next = change(objects, 1, SEED + done);
    bytes += formatDifference(computeDifference(packParts(objects), packParts(next))!).length;
    objects = next;
  }
  return bytes / SINGLE_CHANGES;
}

/**
 * Compares ways by which a change of the set reaches a reader.
 *
 * @param adapters The number of adapters of the set.
 */
export function weighWays(adapters: number): readonly WayBytes[] {
  const objects = sampleSet(adapters);
  const before = packParts(objects);
  const single = differenceBytes();
  const readers = [
    ['in step', 1],
    ['a minute behind', changesIn(60)],
    ['an hour behind', changesIn(3600)],
    ['a day behind', changesIn(SECONDS_PER_DAY)],
  ] as const;
  const rows = readers.map(([reader, changes]): WayBytes => {
    const after = packParts(change(objects, changes, SEED));
    const merged = computeDifference(before, after);
    return {
      reader,
      changes,
      parts: partBytes(before, after),
      differences: Math.round(single * changes),
      mergedDifference: merged === undefined ? Number.NaN : formatDifference(merged).length,
      blockBitmap: bitmapBytes(before, after),
    };
  });
  const whole = partBytes({ digest: '', manifest: [], texts: new Map() }, before);
  const empty = { differences: whole, mergedDifference: whole, blockBitmap: whole };
  return [...rows, { reader: 'empty', changes: 0, parts: whole, ...empty }];
}
