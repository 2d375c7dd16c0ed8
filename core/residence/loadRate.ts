import type { Milliseconds } from '../clock/mod.ts';

/** Limits the rate at which one server starts adapter loads, to protect the shared store. */
export type LoadRateLimiter = {
  /** Returns whether a load may start now. */
  readonly mayStartLoad: (now: Milliseconds) => boolean;
  /** Records the start of a load. */
  readonly recordStart: (now: Milliseconds) => void;
  /** Records the duration of a completed load. */
  readonly recordDuration: (durationMs: Milliseconds) => void;
  /** Returns the current limit in loads per second. */
  readonly perSecond: () => number;
};

/**
 * Creates a limiter with a constant rate.
 *
 * @param perSecond Loads per second.
 */
export function createStaticRateLimiter(perSecond: number): LoadRateLimiter {
  let nextAt: Milliseconds = 0;
  return {
    mayStartLoad: (now) => now >= nextAt,
    recordStart: (now) => {
      nextAt = now + 1000 / perSecond;
    },
    recordDuration: () => undefined,
    perSecond: () => perSecond,
  };
}

/** Options of `createAdaptiveRateLimiter`. */
export type AdaptiveRateLimiterOptions = {
  /** Minimum rate in loads per second: the server's equal share of the store's capacity. */
  readonly floorPerSecond: number;
  /** Maximum rate in loads per second: what the store allows all servers together. */
  readonly ceilingPerSecond: number;
  /** Duration of a load from a store without contention. @default 250 */
  readonly loadMs?: Milliseconds;
  /** Multiple of `loadMs` above which a load counts as slow. @default 3 */
  readonly slowFactor?: number;
};

const DECREASE_FACTOR = 0.75;

/** Number of fast loads that raise the rate from the minimum to the maximum. */
const INCREASE_STEPS = 4;

/**
 * Creates a limiter that adapts to the store by additive increase and multiplicative decrease: each
 * fast load raises the rate by a fixed step, each slow load lowers it by a quarter. The rate starts
 * at the maximum.
 */
export function createAdaptiveRateLimiter(options: AdaptiveRateLimiterOptions): LoadRateLimiter {
  const { floorPerSecond, ceilingPerSecond, loadMs = 250, slowFactor = 3 } = options;
  const increase = (ceilingPerSecond - floorPerSecond) / INCREASE_STEPS;
  let rate = ceilingPerSecond;
  let nextAt: Milliseconds = 0;
  return {
    mayStartLoad: (now) => now >= nextAt,
    recordStart: (now) => {
      nextAt = now + 1000 / rate;
    },
    recordDuration: (durationMs) => {
      const isSlow = durationMs > loadMs * slowFactor;
      const next = isSlow ? rate * DECREASE_FACTOR : rate + increase;
      rate = Math.min(ceilingPerSecond, Math.max(floorPerSecond, next));
    },
    perSecond: () => rate,
  };
}
