import type { Repeatability } from '../serving/mod.ts';

/** What decides whether a request may run again. */
export type RetryState = {
  readonly repeatability: Repeatability;
  /** Attempts that a server may have run. */
  readonly mayHaveRunCount: number;
  /** Attempts that may run, at most. */
  readonly maxAttempts: number;
};

/** Tells whether a request that may have run on one server may be sent to another. */
export function mayRunAgain({
  repeatability,
  mayHaveRunCount: mayHaveRun,
  maxAttempts,
}: RetryState): boolean {
  return repeatability !== 'once' && mayHaveRun < maxAttempts;
}
