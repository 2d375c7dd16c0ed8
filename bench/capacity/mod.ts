/** Measures unit costs on this machine and estimates what each role needs at a given size. @module */
export { DEPLOYMENTS } from './deployments.ts';
export type { Deployment } from './deployments.ts';
export { fitLine } from './fitLine.ts';
export type { Point, Slope } from './fitLine.ts';
export { formatCapacityPage } from './formatCapacityPage.ts';
export type { CapacityRecord } from './formatCapacityPage.ts';
export { measureSlopes } from './measureSlopes.ts';
export type { SlopeName } from './measureSlopes.ts';
export { createSampleSet } from './sampleSet.ts';
export {
  CONTROL_BUDGET,
  findMissedBudgets,
  createSlopeLookup,
  sumControlRows,
  estimateCosts,
} from './estimateCosts.ts';
export type { CapacityRow, SlopeLookup } from './estimateCosts.ts';
