/** Intake of requests, load shedding, retry limits, outlier detection and wait estimates. @module */
export { ConnectionLedger } from './connectionLedger.ts';
export type { ConnectionHolding } from './connectionLedger.ts';
export { IntakeQueue } from './intakeQueue.ts';
export type { IntakeQueueOptions } from './intakeQueue.ts';
export { ListenQueueGuard } from './listenQueueGuard.ts';
export type { ListenQueueGuardOptions } from './listenQueueGuard.ts';
export { OutlierDetector } from './outlierDetector.ts';
export type { OutlierDetectorOptions } from './outlierDetector.ts';
export { estimateWaitMs } from './estimateWaitMs.ts';
export type { ServerLoad } from './estimateWaitMs.ts';
export { RetryBudget } from './retryBudget.ts';
export type { RetryBudgetOptions } from './retryBudget.ts';
export { retryBurstLimit } from './retryBurstLimit.ts';
export type { RetryBurstLimitOptions } from './retryBurstLimit.ts';
export { shouldShed } from './shedding.ts';
export type { SheddingInput } from './shedding.ts';
