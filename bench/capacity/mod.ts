/** Measures slopes on this machine and works out what each role needs at a size. @module */
export { DEPLOYMENTS } from './deployments.ts';
export type { Deployment } from './deployments.ts';
export { fitLine } from './fitLine.ts';
export type { Point, Slope } from './fitLine.ts';
export { formatCapacityPage } from './formatCapacityPage.ts';
export type { CapacityRecord } from './formatCapacityPage.ts';
export { measureSlopes } from './measureSlopes.ts';
export type { SlopeName } from './measureSlopes.ts';
export { sampleSet } from './sampleSet.ts';
export { BUDGET, misses, slopesOf, totalControl, workOut } from './workOut.ts';
export type { CapacityRow, Slopes } from './workOut.ts';
