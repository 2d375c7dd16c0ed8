/** Benchmarks routing and adapter scheduling policies on a virtual clock. @module */
export { CASES } from './cases.ts';
export { CONTENDERS } from './contenders.ts';
export { DEPLOYMENTS } from './deployment.ts';
export { CLAIRVOYANT, POLICIES, runPolicyBench } from './runPolicyBench.ts';
export type { PolicyBenchOptions, PolicyRow } from './runPolicyBench.ts';
export { sweepCapacity } from './sweepCapacity.ts';
export type { SweepRow } from './sweepCapacity.ts';
export { simulatePolicy } from './simulatePolicy.ts';
