import type { Milliseconds } from '../clock/mod.ts';

/** Decides when one server may start a load, so that all servers together spare the store. */
export type LoadRate = {
  /** Tells whether a load may start. */
  readonly mayStart: (now: Milliseconds) => boolean;
  /** Notes that a load starts. */
  readonly started: (now: Milliseconds) => void;
  /** Notes how long a load took. */
  readonly ended: (tookMs: Milliseconds) => void;
  /** Loads a second that may start now. */
  readonly perSecond: () => number;
};

/**
 * Creates a rate that never changes.
 *
 * @param perSecond Loads a second.
 */
export function createStaticRate(perSecond: number): LoadRate {
  let nextAt: Milliseconds = 0;
  return {
    mayStart: (now) => now >= nextAt,
    started: (now) => {
      nextAt = now + 1000 / perSecond;
    },
    ended: () => undefined,
    perSecond: () => perSecond,
  };
}

/** How an adaptive rate behaves. */
export type AdaptiveRateOptions = {
  /** The server's equal share; the rate never falls below it. */
  readonly floorPerSecond: number;
  /** What the store allows all servers together; the rate never rises above it. */
  readonly ceilingPerSecond: number;
  /** Time of a load from an unhurried store. @default 250 */
  readonly loadMs?: Milliseconds;
  /** Multiple of `loadMs` above which the store counts as hurried. @default 3 */
  readonly hurriedFactor?: number;
};

/** What the rate is multiplied by when the store is hurried. */
const DECREASE = 0.75;

/** Additions that lead from the floor to the ceiling. */
const INCREASES = 4;

/**
 * Creates a rate that rises by equal additions while loads are quick and falls by a quarter when one is
 * slow.
 */
export function createAdaptiveRate(options: AdaptiveRateOptions): LoadRate {
  const { floorPerSecond, ceilingPerSecond, loadMs = 250, hurriedFactor = 3 } = options;
  const increase = (ceilingPerSecond - floorPerSecond) / INCREASES;
  let rate = ceilingPerSecond;
  let nextAt: Milliseconds = 0;
  return {
    mayStart: (now) => now >= nextAt,
    started: (now) => {
      nextAt = now + 1000 / rate;
    },
    ended: (tookMs) => {
      const isHurried = tookMs > loadMs * hurriedFactor;
      const next = isHurried ? rate * DECREASE : rate + increase;
      rate = Math.min(ceilingPerSecond, Math.max(floorPerSecond, next));
    },
    perSecond: () => rate,
  };
}
