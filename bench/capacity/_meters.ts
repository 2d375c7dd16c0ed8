import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { fitLine } from './fitLine.ts';
import type { Point, Slope } from './fitLine.ts';

const REPEATS = 5;

type Label = Pick<Slope, 'name' | 'unit' | 'per'>;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Returns the bytes of live objects and buffers after a garbage collection. */
export function measureLiveBytes(): number {
  collectGarbage();
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/**
 * Measures the memory of items.
 *
 * @param name The slope's name.
 * @param per What one item is.
 * @param counts The numbers of items to measure.
 * @param build Builds a number of items and returns a reference that keeps them alive.
 */
export function measureMemory(
  name: string,
  per: string,
  counts: readonly number[],
  build: (count: number) => unknown,
): Slope {
  build(counts[0]!);
  const points = counts.map((x): Point => {
    const before = measureLiveBytes();
    const kept = [build(x)];
    const y = measureLiveBytes() - before;
    kept.length = 0;
    return { x, y };
  });
  return fitLine({ name, unit: 'byte', per }, points);
}

/** Returns the median processor time of several runs, in microseconds. */
export function measureMedianProcessorTime(run: () => void): number {
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
 * @param per What one item is.
 * @param operation Performs the operation; receives the index of the run.
 * @param counts The numbers of runs to measure.
 * @param itemsPerRun Number of items that one run handles.
 */
export function measureProcessorTime(
  name: string,
  per: string,
  operation: (index: number) => void,
  counts: readonly number[] = [4000, 8000, 16_000, 32_000],
  itemsPerRun = 1,
): Slope {
  for (let index = 0; index < counts.at(-1)!; index += 1) operation(index);
  const points = counts.map((runs): Point => {
    const y = measureMedianProcessorTime(() => {
      for (let index = 0; index < runs; index += 1) operation(index);
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
