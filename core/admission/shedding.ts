import type { Milliseconds } from '../clock/mod.ts';

/** What decides whether an entry asks callers to use other entries. */
export type Strain = {
  /** Mean time by which the entry is behind its own timers. */
  readonly lagMs: Milliseconds;
  /** The same of other entries, as last heard. */
  readonly peerLagsMs: readonly Milliseconds[];
  /** Time since the entry began or ceased to shed. */
  readonly sinceMs: Milliseconds;
  readonly isShedding: boolean;
};

/** Lag from which callers notice: a request waits for it several times, a stream at each piece. */
const SHED_LAG_MS: Milliseconds = 60;

/** How many times as far behind as the others an entry must be; where all are, none is a way out. */
const SHED_TIMES_OTHERS = 3;

/** Lag at which an entry that sheds takes callers again. */
const RETURN_LAG_MS: Milliseconds = 20;

/** Time for which an entry sheds at least: the balancer notices after two seconds. */
const LEAST_SHED_MS: Milliseconds = 3000;

/** Time after which an entry sheds no longer, so that one that is always behind still has a share. */
const MOST_SHED_MS: Milliseconds = 12_000;

/** Time for which an entry takes callers at least. */
const LEAST_SERVE_MS: Milliseconds = 2000;

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? Infinity;
}

/**
 * Decides whether an entry on a host that has become slow sends its callers to others.
 *
 * It answers a host with a fraction of its processor left: what it takes, it serves late. An entry that
 * hears of no other never sheds.
 */
export function shouldShed({ lagMs, peerLagsMs, sinceMs, isShedding }: Strain): boolean {
  const isOdd = lagMs > medianOf(peerLagsMs) * SHED_TIMES_OTHERS;
  if (!isShedding) return sinceMs >= LEAST_SERVE_MS && lagMs >= SHED_LAG_MS && isOdd;
  if (sinceMs < LEAST_SHED_MS) return true;
  return sinceMs < MOST_SHED_MS && lagMs > RETURN_LAG_MS;
}
