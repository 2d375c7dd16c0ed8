import type { Milliseconds } from '../clock/mod.ts';

/** What determines whether an entry sheds load. */
export type SheddingInput = {
  /** Mean delay of this entry's timers (event loop lag). */
  readonly lagMs: Milliseconds;
  /** Timer lag of the other entries, as last reported. */
  readonly peerLagsMs: readonly Milliseconds[];
  /** Time since the entry started or stopped shedding. */
  readonly sinceChangeMs: Milliseconds;
  readonly isShedding: boolean;
};

/** Lag that callers notice: it delays a request several times and each chunk of a stream. */
const SHED_LAG_MS: Milliseconds = 60;

/** Ratio to the median lag of the other entries above which to shed; if all entries lag, shedding is no help. */
const SHED_LAG_RATIO = 3;

/** Lag at which an entry that sheds accepts callers again. */
const RECOVERED_LAG_MS: Milliseconds = 20;

/** Least time of shedding; the load balancer takes two seconds to notice. */
const MIN_SHED_MS: Milliseconds = 3000;

/** Longest time of shedding, so that an entry that always lags still serves a share of the callers. */
const MAX_SHED_MS: Milliseconds = 12_000;

/** Least time of serving between two periods of shedding. */
const MIN_SERVE_MS: Milliseconds = 2000;

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? Infinity;
}

/**
 * Decides whether an entry on a slow host sheds load to other entries.
 *
 * An entry with only a fraction of its processor left serves all requests late. An entry that knows of no
 * others never sheds.
 */
export function shouldShed({
  lagMs,
  peerLagsMs,
  sinceChangeMs: sinceMs,
  isShedding,
}: SheddingInput): boolean {
  const isOutlier = lagMs > medianOf(peerLagsMs) * SHED_LAG_RATIO;
  if (!isShedding) return sinceMs >= MIN_SERVE_MS && lagMs >= SHED_LAG_MS && isOutlier;
  if (sinceMs < MIN_SHED_MS) return true;
  return sinceMs < MAX_SHED_MS && lagMs > RECOVERED_LAG_MS;
}
