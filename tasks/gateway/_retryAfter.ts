import type { Milliseconds } from '../../core/clock/mod.ts';

/** Why a caller is asked to come back later. */
export type RetryReason = 'starting' | 'leaving' | 'load-late' | 'not-run' | 'stale';

/** Time after which another attempt is likely to succeed. */
const DELAYS_MS: Readonly<Record<RetryReason, Milliseconds>> = {
  // This process has no deployment, for instance during a store outage.
  starting: 1200,
  // Other entries can serve the caller at once.
  leaving: 50,
  // Another entry may be in touch with the store, or this one soon is again.
  stale: 600,
  // About two adapter loads finish in this time.
  'load-late': 500,
  // A slot becomes free about this often.
  'not-run': 300,
};

/** Longest `Retry-After`, as a share of the time left; callers ignore a longer one. */
const MAX_SHARE_OF_TIME_LEFT = 0.32;

/** Returns the usual delay for a reason. */
export function retryDelayMs(reason: RetryReason): Milliseconds {
  return DELAYS_MS[reason];
}

/**
 * Adds jitter to a delay, and caps it by the time that the caller has left.
 *
 * @param random Returns a random number from 0 to 1.
 */
export function jitterRetryAfter(
  delayMs: Milliseconds,
  leftMs: Milliseconds | undefined,
  random: () => number,
): Milliseconds {
  const jitteredMs = delayMs * (1 + random() / 2);
  return Math.max(0, Math.min(jitteredMs, (leftMs ?? Infinity) * MAX_SHARE_OF_TIME_LEFT));
}
