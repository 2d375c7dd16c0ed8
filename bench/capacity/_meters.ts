import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { fitLine } from './fitLine.ts';
import type { Point, Slope } from './fitLine.ts';

const REPEATS = 5;

type Label = Pick<Slope, 'name' | 'unit' | 'per'>;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Returns the bytes that live objects and buffers hold. */
export function liveBytes(): number {
  collectGarbage();
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/**
 * Measures the bytes that items hold.
 *
 * @param name The slope's name.
 * @param per What is built.
 * @param counts The numbers of items.
 * @param build Builds a number of items and returns what keeps them alive.
 */
export function measureState(
  name: string,
  per: string,
  counts: readonly number[],
  build: (count: number) => unknown,
): Slope {
  build(counts[0]!);
  const points = counts.map((x): Point => {
    const before = liveBytes();
    const kept = [build(x)];
    const y = liveBytes() - before;
    kept.length = 0;
    return { x, y };
  });
  return fitLine({ name, unit: 'byte', per }, points);
}

/** Returns the median of the processor times that several runs took, in microseconds. */
export function medianProcessorTime(run: () => void): number {
  const times = Array.from({ length: REPEATS }, () => {
    collectGarbage();
    const before = process.cpuUsage();
    run();
    const { user, system } = process.cpuUsage(before);
    return user + system;
  });
  return times.sort((a, b) => a - b)[Math.floor(REPEATS / 2)]!;
}

/**
 * Measures the processor time of an operation.
 *
 * @param name The slope's name.
 * @param per What one run does.
 * @param run Performs the operation; gets the number of the run.
 * @param counts The numbers of runs.
 * @param itemsPerRun How many items one run handles.
 */
export function measureProcessorTime(
  name: string,
  per: string,
  run: (index: number) => void,
  counts: readonly number[] = [4000, 8000, 16_000, 32_000],
  itemsPerRun = 1,
): Slope {
  for (let index = 0; index < counts.at(-1)!; index += 1) run(index);
  const points = counts.map((runs): Point => {
    const y = medianProcessorTime(() => {
      for (let index = 0; index < runs; index += 1) run(index);
    });
    return { x: runs * itemsPerRun, y };
  });
  return fitLine({ name, unit: 'microsecond', per }, points);
}

/** Fits a line to values counted at several sizes. */
export function measureCounts(
  label: Label,
  counts: readonly number[],
  count: (size: number) => number,
): Slope {
  return fitLine(
    label,
    counts.map((x) => ({ x, y: count(x) })),
  );
}
