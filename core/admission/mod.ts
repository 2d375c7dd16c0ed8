/** What is refused, retried and kept away from. @module */
export { Ejection } from './ejection.ts';
export type { EjectionOptions } from './ejection.ts';
export { expectedWait } from './expectedWait.ts';
export type { WaitFacts } from './expectedWait.ts';
export { RetryBudget } from './retryBudget.ts';
export type { RetryBudgetOptions } from './retryBudget.ts';
export { savedRetries } from './savedRetries.ts';
export type { SavedRetriesTerms } from './savedRetries.ts';
export { shouldShed } from './shedding.ts';
export type { Strain } from './shedding.ts';
