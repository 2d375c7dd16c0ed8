import type { Milliseconds } from '../clock/mod.ts';
import { notRun } from '../outcome/mod.ts';
import type { NotRun } from '../outcome/mod.ts';
import type { TenantLimit } from '../set/mod.ts';
import { DemandMeter } from './demandMeter.ts';
import { shareOfLimit } from './shareOfLimit.ts';
import type { DemandTotal, TenantDemand } from './tenantDemand.ts';
import { TokenBucket } from './tokenBucket.ts';

/** How to build a `LimitKeeper`. */
export type LimitKeeperOptions = {
  /** Time after which a relay's word no longer counts. @default 1000 */
  readonly staleAfterMs?: Milliseconds;
};

/** A limit and its use at one entry. */
export type LimitUse = {
  readonly tenant: string;
  readonly limit: TenantLimit;
  /** This entry's part of the limit on requests a second. */
  readonly requestsPerSecond: number;
  /** This entry's part of the limit on requests in flight. */
  readonly requestsInFlight: number;
  readonly demandPerSecond: number;
  readonly inFlight: number;
  readonly refused: number;
  /** Entries whose demand is known, 0 when no relay is heard. */
  readonly entriesHeard: number;
};

type Heard = {
  readonly at: Milliseconds;
  readonly total: DemandTotal;
  /** This entry's part of the total. */
  readonly own: number;
};

type State = {
  limit: TenantLimit;
  readonly meter: DemandMeter;
  readonly heard: Map<string, Heard>;
  bucket: TokenBucket | undefined;
  inFlight: number;
  refused: number;
  /** The demand that relays were told last. */
  told: number;
};

const IN_FLIGHT_RETRY_MS: Milliseconds = 500;

function openState(limit: TenantLimit, now: Milliseconds): State {
  const meter = new DemandMeter(now);
  return { limit, meter, heard: new Map(), bucket: undefined, inFlight: 0, refused: 0, told: 0 };
}

/** Demand is capped by the limit, so that a flood at one entry does not starve the others. */
function demandOf(state: State, now: Milliseconds): number {
  const { requestsPerSecond: limit } = state.limit;
  const demand = state.meter.perSecond(now);
  return limit > 0 ? Math.min(demand, limit) : demand;
}

/** Returns what the relay that hears the most entries said, unless all are silent. */
function freshest(state: State, now: Milliseconds, staleAfterMs: Milliseconds): Heard | undefined {
  let best: Heard | undefined;
  for (const [relay, heard] of state.heard) {
    if (now - heard.at >= staleAfterMs) state.heard.delete(relay);
    else if (best === undefined || heard.total.entries > best.total.entries) best = heard;
  }
  return best;
}

/** Holds one entry to its part of every tenant's limit. */
export class LimitKeeper {
  readonly #staleAfterMs: Milliseconds;

  readonly #states = new Map<string, State>();

  #entries = 1;

  constructor(options: LimitKeeperOptions = {}) {
    this.#staleAfterMs = options.staleAfterMs ?? 1000;
  }

  /** Tenants that have a limit. */
  get tenants(): readonly string[] {
    return [...this.#states.keys()];
  }

  /** Takes the limits of the set in force; use goes on being counted. */
  applyLimits(limits: ReadonlyMap<string, TenantLimit>, now: Milliseconds): void {
    for (const tenant of this.#states.keys()) {
      if (!limits.has(tenant)) this.#states.delete(tenant);
    }
    for (const [tenant, limit] of limits) {
      const known = this.#states.get(tenant);
      if (known !== undefined) known.limit = limit;
      else this.#states.set(tenant, openState(limit, now));
    }
  }

  /** Notes how many entries may serve tenants. */
  applyEntries(entries: number): void {
    this.#entries = Math.max(1, entries);
  }

  /** Notes what a relay hears. */
  noteTotals(relay: string, totals: readonly DemandTotal[], now: Milliseconds): void {
    for (const total of totals) {
      const state = this.#states.get(total.tenant);
      state?.heard.set(relay, { at: now, total, own: state.told });
    }
  }

  /** Returns what this entry sees of the given tenants. */
  demand(tenants: readonly string[], now: Milliseconds): readonly TenantDemand[] {
    return tenants.flatMap((tenant) => {
      const state = this.#states.get(tenant);
      if (state === undefined) return [];
      const requestsPerSecond = demandOf(state, now);
      state.told = requestsPerSecond;
      return [{ tenant, requestsPerSecond, requestsInFlight: state.inFlight }];
    });
  }

  /**
   * Admits a request, whose end must be told by `release`.
   *
   * @returns Why the request is refused, or `undefined` when it may go on.
   */
  admit(tenant: string, now: Milliseconds): NotRun | undefined {
    const state = this.#states.get(tenant);
    if (state === undefined) return undefined;
    state.meter.note(now);
    const refusal = this.#refuse(state, now);
    if (refusal === undefined) state.inFlight += 1;
    else state.refused += 1;
    return refusal;
  }

  /** Tells that an admitted request has ended. */
  release(tenant: string): void {
    const state = this.#states.get(tenant);
    if (state !== undefined) state.inFlight = Math.max(0, state.inFlight - 1);
  }

  /** Returns every limit with its use. */
  uses(now: Milliseconds): readonly LimitUse[] {
    return [...this.#states].map(([tenant, state]) => ({
      tenant,
      limit: state.limit,
      requestsPerSecond: this.#rate(state, now),
      requestsInFlight: this.#width(state, now),
      demandPerSecond: state.meter.perSecond(now),
      inFlight: state.inFlight,
      refused: state.refused,
      entriesHeard: freshest(state, now, this.#staleAfterMs)?.total.entries ?? 0,
    }));
  }

  #share(state: State, now: Milliseconds): number {
    const heard = freshest(state, now, this.#staleAfterMs);
    return shareOfLimit({
      limit: state.limit.requestsPerSecond,
      entries: this.#entries,
      own: heard?.own ?? 0,
      total: heard && { entries: heard.total.entries, sum: heard.total.requestsPerSecond },
    });
  }

  #rate(state: State, now: Milliseconds): number {
    return state.limit.requestsPerSecond * this.#share(state, now);
  }

  #width(state: State, now: Milliseconds): number {
    return Math.max(1, Math.floor(state.limit.requestsInFlight * this.#share(state, now)));
  }

  #refuse(state: State, now: Milliseconds): NotRun | undefined {
    const { limit } = state;
    if (limit.requestsInFlight > 0 && state.inFlight >= this.#width(state, now)) {
      const detail = `tenant ${limit.name} has its limit of requests in flight; ask again`;
      return notRun('limit', detail, IN_FLIGHT_RETRY_MS);
    }
    if (limit.requestsPerSecond === 0) return undefined;
    const rate = this.#rate(state, now);
    state.bucket ??= new TokenBucket(now, rate);
    const waitMs = state.bucket.take(now, rate);
    if (waitMs === 0) return undefined;
    const detail = `tenant ${limit.name} is over its limit of requests a second; ask again`;
    return notRun('limit', detail, Math.ceil(waitMs));
  }
}
