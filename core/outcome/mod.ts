/** Outcomes of requests. @module */
export { DONE, failed, notRun, unknown } from './outcome.ts';
export type {
  Done,
  Failed,
  FailedReason,
  NotRun,
  NotRunReason,
  Outcome,
  Unknown,
  UnknownReason,
} from './outcome.ts';
export { isRetryable } from './isRetryable.ts';
