import type { Milliseconds } from '../clock/mod.ts';
import { notRun } from '../outcome/mod.ts';
import type { NotRun } from '../outcome/mod.ts';
import type { TenantLimit } from '../set/mod.ts';
import { DemandMeter } from './demandMeter.ts';
import { shareOfLimit } from './shareOfLimit.ts';
import type { DemandTotal, TenantDemand } from './tenantDemand.ts';
import { TokenBucket } from './tokenBucket.ts';

/** Options of a `TenantLimiter`. */
export type TenantLimiterOptions = {
  /** Age at which a relay's total is dropped. @default 1000 */
  readonly staleAfterMs?: Milliseconds;
};

/** A tenant's limit and its use at one entry. */
export type LimitUse = {
  readonly tenant: string;
  readonly limit: TenantLimit;
  /** This entry's share of the limit on requests per second. */
  readonly requestsPerSecond: number;
  /** This entry's share of the limit on requests in flight. */
  readonly requestsInFlight: number;
  /** Requests per second that arrive at this entry, admitted or refused. */
  readonly demandPerSecond: number;
  readonly inFlight: number;
  /** Requests refused since the tenant got its limit. */
  readonly refused: number;
  /** Number of entries in the total that is used; 0 when there is no recent total. */
  readonly entriesHeard: number;
};

type RelayTotal = {
  readonly receivedAt: Milliseconds;
  readonly total: DemandTotal;
  /** This entry's last reported demand in requests per second, when the total arrived. */
  readonly ownDemand: number;
};

type TenantState = {
  limit: TenantLimit;
  readonly meter: DemandMeter;
  readonly totalsByRelay: Map<string, RelayTotal>;
  bucket: TokenBucket | undefined;
  inFlight: number;
  refused: number;
  /** The demand that was last reported to a relay, in requests per second. */
  reportedDemand: number;
};

const IN_FLIGHT_RETRY_AFTER_MS: Milliseconds = 500;

function createState(limit: TenantLimit, now: Milliseconds): TenantState {
  const meter = new DemandMeter(now);
  return {
    limit,
    meter,
    totalsByRelay: new Map(),
    bucket: undefined,
    inFlight: 0,
    refused: 0,
    reportedDemand: 0,
  };
}

/** Caps the demand at the limit, so that a flood at one entry does not starve the others. */
function cappedDemand(state: TenantState, now: Milliseconds): number {
  const { requestsPerSecond: limit } = state.limit;
  const demand = state.meter.perSecond(now);
  return limit > 0 ? Math.min(demand, limit) : demand;
}

/** Returns the total that covers the most entries, and drops stale totals. */
function mostCompleteTotal(
  state: TenantState,
  now: Milliseconds,
  staleAfterMs: Milliseconds,
): RelayTotal | undefined {
  let best: RelayTotal | undefined;
  for (const [relay, received] of state.totalsByRelay) {
    if (now - received.receivedAt >= staleAfterMs) state.totalsByRelay.delete(relay);
    else if (best === undefined || received.total.entries > best.total.entries) best = received;
  }
  return best;
}

/** Enforces one entry's share of every tenant's limit. */
export class TenantLimiter {
  readonly #staleAfterMs: Milliseconds;

  readonly #states = new Map<string, TenantState>();

  #entries = 1;

  constructor(options: TenantLimiterOptions = {}) {
    this.#staleAfterMs = options.staleAfterMs ?? 1000;
  }

  /** Tenants with a limit. */
  get tenants(): readonly string[] {
    return [...this.#states.keys()];
  }

  /** Applies the limits of the active set; tenants that keep a limit keep their counters. */
  applyLimits(limits: ReadonlyMap<string, TenantLimit>, now: Milliseconds): void {
    for (const tenant of this.#states.keys()) {
      if (!limits.has(tenant)) this.#states.delete(tenant);
    }
    for (const [tenant, limit] of limits) {
      const known = this.#states.get(tenant);
      if (known !== undefined) known.limit = limit;
      else this.#states.set(tenant, createState(limit, now));
    }
  }

  /** Sets the number of entries that may serve tenants. */
  setEntryCount(entries: number): void {
    this.#entries = Math.max(1, entries);
  }

  /** Stores the totals that a relay sent. */
  applyTotals(relay: string, totals: readonly DemandTotal[], now: Milliseconds): void {
    for (const total of totals) {
      const state = this.#states.get(total.tenant);
      state?.totalsByRelay.set(relay, { receivedAt: now, total, ownDemand: state.reportedDemand });
    }
  }

  /** Returns this entry's demand for the given tenants, to be reported to a relay. */
  demand(tenants: readonly string[], now: Milliseconds): readonly TenantDemand[] {
    return tenants.flatMap((tenant) => {
      const state = this.#states.get(tenant);
      if (state === undefined) return [];
      const requestsPerSecond = cappedDemand(state, now);
      state.reportedDemand = requestsPerSecond;
      return [{ tenant, requestsPerSecond, requestsInFlight: state.inFlight }];
    });
  }

  /**
   * Admits or refuses a request. Call `release` when an admitted request ends.
   *
   * @returns The refusal, or `undefined` when the request is admitted.
   */
  admit(tenant: string, now: Milliseconds): NotRun | undefined {
    const state = this.#states.get(tenant);
    if (state === undefined) return undefined;
    state.meter.recordRequest(now);
    const refusal = this.#checkLimits(state, now);
    if (refusal === undefined) state.inFlight += 1;
    else state.refused += 1;
    return refusal;
  }

  /** Records the end of an admitted request. */
  release(tenant: string): void {
    const state = this.#states.get(tenant);
    if (state !== undefined) state.inFlight = Math.max(0, state.inFlight - 1);
  }

  /** Returns every limit, this entry's share of it and its use. */
  uses(now: Milliseconds): readonly LimitUse[] {
    return [...this.#states].map(([tenant, state]) => ({
      tenant,
      limit: state.limit,
      requestsPerSecond: this.#requestRateLimit(state, now),
      requestsInFlight: this.#inFlightLimit(state, now),
      demandPerSecond: state.meter.perSecond(now),
      inFlight: state.inFlight,
      refused: state.refused,
      entriesHeard: mostCompleteTotal(state, now, this.#staleAfterMs)?.total.entries ?? 0,
    }));
  }

  #share(state: TenantState, now: Milliseconds): number {
    const received = mostCompleteTotal(state, now, this.#staleAfterMs);
    return shareOfLimit({
      limit: state.limit.requestsPerSecond,
      entries: this.#entries,
      ownDemand: received?.ownDemand ?? 0,
      total: received && { entries: received.total.entries, sum: received.total.requestsPerSecond },
    });
  }

  #requestRateLimit(state: TenantState, now: Milliseconds): number {
    return state.limit.requestsPerSecond * this.#share(state, now);
  }

  #inFlightLimit(state: TenantState, now: Milliseconds): number {
    return Math.max(1, Math.floor(state.limit.requestsInFlight * this.#share(state, now)));
  }

  #checkLimits(state: TenantState, now: Milliseconds): NotRun | undefined {
    const { limit } = state;
    if (limit.requestsInFlight > 0 && state.inFlight >= this.#inFlightLimit(state, now)) {
      const detail = `tenant ${limit.name} has reached its limit of requests in flight; retry`;
      return notRun('limit', detail, IN_FLIGHT_RETRY_AFTER_MS);
    }
    if (limit.requestsPerSecond === 0) return undefined;
    const rate = this.#requestRateLimit(state, now);
    state.bucket ??= new TokenBucket(now, rate);
    const waitMs = state.bucket.take(now, rate);
    if (waitMs === 0) return undefined;
    const detail = `tenant ${limit.name} is over its limit of requests per second; retry`;
    return notRun('limit', detail, Math.ceil(waitMs));
  }
}
