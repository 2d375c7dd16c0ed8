import type { Repeatability } from '../serving/mod.ts';

/** What decides whether a request may run once more. */
export type RunCount = {
  readonly repeatability: Repeatability;
  /** Sendings that a server may have run. */
  readonly mayHaveRun: number;
  /** Backend servers that one request may be sent to. */
  readonly maxAttempts: number;
};

/** Tells whether a request that a server may have run may be sent to another. */
export function mayRunAgain({ repeatability, mayHaveRun, maxAttempts }: RunCount): boolean {
  return repeatability !== 'once' && mayHaveRun < maxAttempts;
}
