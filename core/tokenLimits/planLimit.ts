import type { Milliseconds } from '../clock/mod.ts';
import type { TokenLimit } from '../serving/mod.ts';

/** How strictly token limits bind: `(rate * window + burst) * (1 + overage) + slack` tokens in any window. */
export type LimitBounds = {
  readonly windowMs: Milliseconds;
  readonly overage: number;
  readonly slack: number;
};

/** How the tokens of a limit are issued. */
export type LimitPlan = {
  readonly perSecond: number;
  /** Tokens that may be saved up at the issuer. */
  readonly capacity: number;
  /** Time within which a lease must be spent. */
  readonly leaseMs: Milliseconds;
};

const MILLISECONDS_IN_SECOND = 1000;

/**
 * Share of the tokens beyond the rate that may be saved up, and share that may lie in leases. The rest is
 * for the time in which two entries issue tokens of one tenant, at the start and the end of a partition.
 */
const SAVED_SHARE = 0.12;
const LEASED_SHARE = 0.18;

/**
 * Tokens that leases and two issuers at once may cost at most, as time; of what the slack allows beyond them, most
 * is saved up as well. Small limits need it: a request costs as much as they allow in some seconds.
 */
const RESERVED_MS: Milliseconds = 2800;
const SPARE_SHARE = 0.7;

/** Least time for which tokens are saved up: less than a request could be sent with after a pause. */
const MIN_SAVED_MS: Milliseconds = 50;

const MIN_LEASE_MS: Milliseconds = 200;

const MAX_LEASE_MS: Milliseconds = 1000;

/** Returns the most tokens that may run in any window. */
export function windowAllowance(limit: TokenLimit, bounds: LimitBounds): number {
  const byRate = (limit.perSecond * bounds.windowMs) / MILLISECONDS_IN_SECOND;
  return (byRate + limit.burst) * (1 + bounds.overage) + bounds.slack;
}

/** Divides what a limit allows in a window between the rate, what is saved up, and leases. */
export function planLimit(limit: TokenLimit, bounds: LimitBounds): LimitPlan {
  const { perSecond } = limit;
  const perMs = perSecond / MILLISECONDS_IN_SECOND;
  const allowance = windowAllowance(limit, bounds);
  const beyondRate = Math.max(0, allowance - perMs * bounds.windowMs);
  const spare = (beyondRate - perMs * RESERVED_MS) * SPARE_SHARE;
  const capacity = Math.max(perMs * MIN_SAVED_MS, beyondRate * SAVED_SHARE, spare);
  const leaseMs = Math.min(
    MAX_LEASE_MS,
    Math.max(MIN_LEASE_MS, (beyondRate * LEASED_SHARE) / perMs),
  );
  // Tokens issued in a window and one lease before it may be spent in the window.
  const affordable = (allowance - capacity) / (bounds.windowMs + leaseMs);
  return {
    perSecond: Math.max(0, Math.min(perMs, affordable)) * MILLISECONDS_IN_SECOND,
    capacity,
    leaseMs,
  };
}
