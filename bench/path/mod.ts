/** Measures the overhead of the path through an entry and a sidecar. @module */
export { runPathBench } from './runPathBench.ts';
export type { FirstTokenTimes, PathRecord, PathTarget } from './runPathBench.ts';
