/** Measures the time of a routing or scheduling decision. @module */
export { runDecideBench } from './runDecideBench.ts';
export type { DecideBenchOptions, DecideRow, DecideSlope } from './runDecideBench.ts';
