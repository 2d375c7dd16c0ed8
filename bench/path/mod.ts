/** Measures what the path through an entry and a sidecar costs. @module */
export { runPathBench } from './runPathBench.ts';
export type { FirstTokenTimes, PathRecord, PathTarget } from './runPathBench.ts';
