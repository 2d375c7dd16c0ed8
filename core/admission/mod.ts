/** Load shedding, retry limits, outlier detection and wait estimates. @module */
export { Ejection } from './ejection.ts';
export type { OutlierDetectorOptions } from './ejection.ts';
export { expectedWait } from './expectedWait.ts';
export type { ServerLoad } from './expectedWait.ts';
export { RetryBudget } from './retryBudget.ts';
export type { RetryBudgetOptions } from './retryBudget.ts';
export { savedRetries } from './savedRetries.ts';
export type { RetryBurstLimitOptions } from './savedRetries.ts';
export { shouldShed } from './shedding.ts';
export type { SheddingInput } from './shedding.ts';
