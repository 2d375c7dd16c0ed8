/** Measures the time that one decision takes. @module */
export { runDecideBench } from './runDecideBench.ts';
export type { DecideBenchOptions, DecideRow, DecideSlope } from './runDecideBench.ts';
