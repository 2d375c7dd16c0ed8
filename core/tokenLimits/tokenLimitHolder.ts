import type { Milliseconds } from '../clock/mod.ts';
import { DemandMeter } from '../limits/mod.ts';
import type { TokenLimit } from '../serving/mod.ts';
import { HeldLeases } from './_heldLeases.ts';
import { orderIssuers } from './_orderIssuers.ts';
import { UrgencyGate } from './_urgencyGate.ts';
import type { LeaseAnswer, LeaseRequest } from './leaseMessages.ts';
import { planLimit } from './planLimit.ts';
import type { LimitBounds, LimitPlan } from './planLimit.ts';

/** What a request wants to spend. */
export type TokenDemand = {
  readonly tenant: string;
  readonly limit: TokenLimit;
  readonly tokens: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether the request waited for an answer, so that it has been counted. @default false */
  readonly isRepeated?: boolean;
};

/**
 * Why there were no tokens for a request: the limit is reached, more urgent requests go first, another entry
 * issues in place of the first one, the issuer has just started, or none has answered in time.
 */
export type TokenRefusalCause = 'limit' | 'urgency' | 'stand-in' | 'issuer-starting' | 'no-answer';

/** Refusal of a request. */
export type TokenRefusal = {
  readonly kind: 'refused';
  readonly cause: TokenRefusalCause;
  readonly retryAfterMs: Milliseconds;
};

/** Whether a request may be sent, has to wait for the answer of an issuer, or is refused. */
export type TokenDecision =
  { readonly kind: 'admitted' } | { readonly kind: 'wait' } | TokenRefusal;

/**
 * How a request for a lease ended: with all that was wanted, with less, not yet, after its issuer was passed
 * over, or without an answer.
 */
export type LeaseResult = 'issued' | 'short' | 'issuer-starting' | 'late' | 'no-answer';

/** Use of a tenant's limit at one entry. */
export type TokenUse = {
  readonly tenant: string;
  /** Tokens at hand. */
  readonly heldTokens: number;
  /** Tokens a second that arrive, admitted or refused. */
  readonly demandPerSecond: number;
  /** Tokens spent since the tenant got its limit, less those given back. */
  readonly spentTokens: number;
  readonly refusedTokens: number;
};

/** Options of `TokenLimitHolder`. */
export type TokenLimitHolderOptions = {
  /** Name of this entry among its peers. */
  readonly self: string;
  readonly bounds: LimitBounds;
  /** Returns the names of the other entries that have been heard of lately. */
  readonly peers: () => readonly string[];
  /** Returns the capacity of an entry; 0 if it is unknown. @default always unknown */
  readonly capacityOf?: ((name: string) => number) | undefined;
  /** Sends a request to an issuer, which may be this entry; that one may answer before the call returns. */
  readonly send: (issuer: string, request: LeaseRequest) => void;
  /** Called when an issuer does not answer. */
  readonly onSilent: (issuer: string, tenant: string) => void;
  /** Called when a request for a lease has ended, and how long after it was sent. @default does nothing */
  readonly onLease?: (result: LeaseResult, tookMs: Milliseconds) => void;
};

/** Time for which a busy entry asks in advance, and its least tokens, as time, below which it asks again. */
const ADVANCE_MS: Milliseconds = 400;
const LOW_MS: Milliseconds = 100;

/** Requests within `ADVANCE_MS` from which on an entry asks in advance. */
const BUSY_REQUESTS = 4;

/** Shortest and longest time after which an issuer that has not answered is passed over. */
const MIN_PATIENCE_MS: Milliseconds = 150;
const MAX_PATIENCE_MS: Milliseconds = 800;

/** Patience relative to the longest of the last answers, which counts less with each further answer. */
const PATIENCE_FACTOR = 2;
const ANSWER_TIME_DECAY = 0.9;

/** Time within which an issuer that was passed over may still answer. */
const LATE_ANSWER_MAX_AGE_MS: Milliseconds = 1000;

/** Longest time for which an issuer is passed over that did not answer, or has just started. */
const PASSED_OVER_MS: Milliseconds = 1000;

/** Issuers passed over for a tenant at once, after which the entry issues tokens itself. */
const MAX_PASSED_OVER = 2;

/** Time for which a tenant's issuers are kept in order. */
const ORDER_MAX_AGE_MS: Milliseconds = 300;

/** Shortest and longest time after which a shortage is asked about again. */
const MIN_SHORT_MS: Milliseconds = 30;
const BUSY_SHORT_MS: Milliseconds = 100;
const MAX_SHORT_MS: Milliseconds = 1000;

/** Time after an answer that was short in which urgent requests go first. */
const SHORTAGE_MEMORY_MS: Milliseconds = 1200;

/** Time after which unspent tokens are returned although no more are wanted. */
const RETURN_INTERVAL_MS: Milliseconds = 400;

/** Age of what did not run up to which its tokens come back in full. */
const RETURN_MAX_AGE_MS: Milliseconds = 1000;

const MAX_RETRY_AFTER_MS: Milliseconds = 4000;
const MIN_RETRY_AFTER_MS: Milliseconds = 100;

/** Least supply that is assumed when refused callers are spread, as a share of the limit. */
const LEAST_SUPPLY_SHARE = 0.02;

const MAX_IDLE_MS: Milliseconds = 60_000;

const MILLISECONDS_IN_SECOND = 1000;

type Pending = LeaseRequest & { readonly issuer: string; readonly sentAt: Milliseconds };

type TenantState = {
  readonly leases: HeldLeases;
  readonly gate: UrgencyGate;
  readonly supply: DemandMeter;
  plan: LimitPlan;
  limit: TokenLimit;
  usedAt: Milliseconds;
  askedAt: Milliseconds;
  meanTokens: number;
  /** Tokens of the requests that wait for an answer. */
  waitingTokens: number;
  /** Tokens of the requests that waited for the last answer and have not been tried again yet. */
  retriedTokens: number;
  pending: Pending | undefined;
  /** Requests whose issuers were passed over, by number. */
  readonly overdue: Map<number, Pending>;
  /** Until when no tokens are expected. */
  shortUntil: Milliseconds;
  /** Until when issuers that have just started issue nothing. */
  startingUntil: Milliseconds;
  wasShortAt: Milliseconds;
  /** Why no tokens were issued last. */
  shortageCause: TokenRefusalCause;
  /** When the caller refused next should come back. */
  nextReturnAt: Milliseconds;
  returned: number;
  refunded: number;
  order: readonly string[];
  orderedAt: Milliseconds;
  spentTokens: number;
  refusedTokens: number;
};

/** Whether requests come so often that tokens are asked for in advance. */
function isBusy(state: TenantState, now: Milliseconds): boolean {
  const advance = (state.gate.demand(now) * ADVANCE_MS) / MILLISECONDS_IN_SECOND;
  return advance >= BUSY_REQUESTS * Math.max(1, state.meanTokens);
}

/** Ends the wait for the answer to a request; whatever waited is tried again. */
function endWait(state: TenantState): void {
  state.pending = undefined;
  state.retriedTokens = state.waitingTokens;
  state.waitingTokens = 0;
}

function spendIfHeld(state: TenantState, tokens: number, now: Milliseconds): boolean {
  if (state.leases.tokens(now) < tokens) return false;
  state.leases.spend(tokens, now);
  state.spentTokens += tokens;
  return true;
}

/**
 * Refuses a request; those refused get different times, as many as tokens come in by then.
 *
 * @param leastShare Least supply that is assumed, as a share of the limit.
 */
function refuse(
  state: TenantState,
  tokens: number,
  cause: TokenRefusalCause,
  now: Milliseconds,
  leastShare = LEAST_SUPPLY_SHARE,
): TokenRefusal {
  state.refusedTokens += tokens;
  const { perSecond } = state.plan;
  const supply = Math.max(1, state.supply.perSecond(now), perSecond * leastShare);
  const expectedAt = cause === 'issuer-starting' ? state.startingUntil : state.shortUntil;
  const first = Math.max(now + MIN_RETRY_AFTER_MS, expectedAt);
  // Where more were refused than the longest delay has room for, further ones share the same times.
  const isFull = state.nextReturnAt > now + MAX_RETRY_AFTER_MS;
  const returnAt = isFull ? first : Math.max(first, state.nextReturnAt);
  state.nextReturnAt = returnAt + (tokens / supply) * MILLISECONDS_IN_SECOND;
  return { kind: 'refused', cause, retryAfterMs: returnAt - now };
}

/** Spends the tokens of tenants at one entry from leases, and asks for further ones by demand. */
export class TokenLimitHolder {
  readonly #options: TokenLimitHolderOptions;

  readonly #states = new Map<string, TenantState>();

  /** Until when issuers are passed over. */
  readonly #passedOverUntil = new Map<string, Milliseconds>();

  /** Longest time that each issuer took for one of its last answers. */
  readonly #answerMs = new Map<string, Milliseconds>();

  #nextNumber = 0;

  constructor(options: TokenLimitHolderOptions) {
    this.#options = options;
  }

  /** Number of tenants in use. */
  get size(): number {
    return this.#states.size;
  }

  /** Spends the tokens of a request, if there are any. */
  take(demand: TokenDemand, now: Milliseconds): TokenDecision {
    const { tokens, priority, isRepeated = false } = demand;
    const state = this.#stateOf(demand, now);
    state.usedAt = now;
    if (isRepeated) {
      state.retriedTokens = Math.max(0, state.retriedTokens - tokens);
    } else {
      state.gate.record(priority, tokens, now);
      state.meanTokens += (tokens - state.meanTokens) / 8;
      const isShort = now - state.wasShortAt <= SHORTAGE_MEMORY_MS;
      if (isShort && !state.gate.passes(priority, state.supply.perSecond(now), now)) {
        return refuse(state, tokens, 'urgency', now);
      }
    }
    if (spendIfHeld(state, tokens, now)) return { kind: 'admitted' };
    if (state.pending === undefined && now >= state.shortUntil) {
      this.#ask(demand.tenant, state, tokens, now);
      // An issuer in this process has answered by now.
      if (spendIfHeld(state, tokens, now)) return { kind: 'admitted' };
    }
    // The issuer that stands in says nothing about the tokens that the first one may still issue.
    const mayGetLate = state.overdue.size > 0 && state.shortageCause !== 'limit';
    if (!mayGetLate && (state.pending === undefined || now < state.shortUntil)) {
      return refuse(state, tokens, state.shortageCause, now, this.#leastSupplyShare(state));
    }
    state.waitingTokens += tokens;
    return { kind: 'wait' };
  }

  /** Spends the tokens of a request that runs once more, whether or not there are any. */
  spendAgain(demand: TokenDemand, now: Milliseconds): void {
    const state = this.#stateOf(demand, now);
    state.leases.spend(demand.tokens, now);
    state.spentTokens += demand.tokens;
  }

  /** Gives back the tokens of a request that did not run. */
  giveBack(tenant: string, tokens: number, spentAt: Milliseconds, now: Milliseconds): void {
    const state = this.#states.get(tenant);
    if (state === undefined) return;
    state.spentTokens -= tokens;
    if (now - spentAt <= RETURN_MAX_AGE_MS) state.returned += tokens;
    else state.refunded += tokens;
  }

  /** Refuses a request that has waited for too long. */
  refuseWaiting(demand: TokenDemand, now: Milliseconds): TokenRefusal {
    return refuse(this.#stateOf(demand, now), demand.tokens, 'no-answer', now);
  }

  /** Returns the requests to an issuer that it has not answered, to send them again on a new link. */
  unansweredBy(issuer: string): readonly LeaseRequest[] {
    return [...this.#states.values()]
      .flatMap(({ pending, overdue }) => [...overdue.values(), ...(pending ? [pending] : [])])
      .filter((request) => request.issuer === issuer);
  }

  /** Applies an answer of an issuer. Returns whether requests that wait should be tried again. */
  applyAnswer(answer: LeaseAnswer, now: Milliseconds): boolean {
    const { onLease = () => undefined } = this.#options;
    const { number, tenant, isReady, tokens, isShort, waitMs } = answer;
    const state = this.#states.get(tenant);
    const isPending = state?.pending?.number === number;
    const request = isPending ? state.pending : state?.overdue.get(number);
    // Tokens that were asked for long ago have expired.
    if (state === undefined || request === undefined) return false;
    const tookMs = now - request.sentAt;
    this.#noteAnswer(request.issuer, tookMs);
    if (isPending) endWait(state);
    else state.overdue.delete(number);
    if (!isReady) {
      onLease('issuer-starting', tookMs);
      state.shortageCause = 'issuer-starting';
      state.startingUntil = Math.max(state.startingUntil, now + waitMs);
      this.#passOver(request.issuer, now, waitMs);
      if (request.issuer === this.#options.self) state.shortUntil = now + BUSY_SHORT_MS;
      return true;
    }
    state.leases.add(tokens, request.sentAt + state.plan.leaseMs);
    state.supply.recordRequest(now, tokens);
    if (!isPending) onLease('late', tookMs);
    else onLease(isShort ? 'short' : 'issued', tookMs);
    if (!isShort) return true;
    state.wasShortAt = now;
    state.shortageCause = request.issuer === state.order[0] ? 'limit' : 'stand-in';
    const leastMs = isBusy(state, now) ? BUSY_SHORT_MS : MIN_SHORT_MS;
    state.shortUntil = now + Math.min(MAX_SHORT_MS, Math.max(leastMs, waitMs));
    return true;
  }

  /**
   * Asks for tokens in advance and gives up requests without an answer. Call it several times a second.
   *
   * @returns The tenants whose waiting requests should be tried again.
   */
  tick(now: Milliseconds): readonly string[] {
    this.#passedOverUntil.forEach((until, issuer) => {
      if (until <= now) this.#passedOverUntil.delete(issuer);
    });
    const retried: string[] = [];
    this.#states.forEach((state, tenant) => {
      const { pending, overdue } = state;
      const isPassedOver =
        pending !== undefined && now - pending.sentAt > this.#patienceWith(pending.issuer);
      if (isPassedOver) {
        endWait(state);
        overdue.set(pending.number, pending);
        this.#passOver(pending.issuer, now);
        this.#options.onSilent(pending.issuer, tenant);
      }
      const lost = [...overdue.values()].filter(
        ({ sentAt }) => now - sentAt > LATE_ANSWER_MAX_AGE_MS,
      );
      lost.forEach(({ number, sentAt }) => {
        overdue.delete(number);
        this.#options.onLease?.('no-answer', now - sentAt);
      });
      if (isPassedOver || lost.length > 0) retried.push(tenant);
      if (now - state.usedAt > MAX_IDLE_MS) this.#states.delete(tenant);
      else this.#askInAdvance(tenant, state, now);
    });
    return retried;
  }

  /** Returns the use of each limit at this entry. */
  uses(now: Milliseconds): readonly TokenUse[] {
    return [...this.#states].map(([tenant, { leases, gate, spentTokens, refusedTokens }]) => ({
      tenant,
      heldTokens: Math.max(0, leases.tokens(now)),
      demandPerSecond: gate.demand(now),
      spentTokens,
      refusedTokens,
    }));
  }

  #stateOf({ tenant, limit }: TokenDemand, now: Milliseconds): TenantState {
    let state = this.#states.get(tenant);
    if (state === undefined) {
      state = {
        leases: new HeldLeases(),
        gate: new UrgencyGate(),
        supply: new DemandMeter(now),
        plan: planLimit(limit, this.#options.bounds),
        limit,
        usedAt: now,
        askedAt: -Infinity,
        meanTokens: 0,
        waitingTokens: 0,
        retriedTokens: 0,
        pending: undefined,
        overdue: new Map(),
        shortUntil: 0,
        startingUntil: 0,
        wasShortAt: -Infinity,
        shortageCause: 'limit',
        nextReturnAt: 0,
        returned: 0,
        refunded: 0,
        order: [],
        orderedAt: -Infinity,
        spentTokens: 0,
        refusedTokens: 0,
      };
      this.#states.set(tenant, state);
    }
    if (limit.perSecond !== state.limit.perSecond || limit.burst !== state.limit.burst) {
      state.limit = limit;
      state.plan = planLimit(limit, this.#options.bounds);
    }
    return state;
  }

  #leastSupplyShare({ shortageCause }: TenantState): number {
    if (shortageCause !== 'issuer-starting') return LEAST_SUPPLY_SHARE;
    // Once its issuer has started, each entry gets about an equal share of the limit.
    return Math.max(LEAST_SUPPLY_SHARE, 1 / (this.#options.peers().length + 1));
  }

  #askInAdvance(tenant: string, state: TenantState, now: Milliseconds): void {
    if (state.pending !== undefined) return;
    const held = state.leases.tokens(now);
    const low = (state.gate.demand(now) * LOW_MS) / MILLISECONDS_IN_SECOND;
    if (isBusy(state, now) && held < low) {
      if (now >= state.shortUntil) this.#ask(tenant, state, 0, now);
      return;
    }
    state.returned += state.leases.takeExpired(now);
    const hasReturns = state.returned + state.refunded > 0 || held < 0;
    if (hasReturns && now - state.askedAt >= RETURN_INTERVAL_MS) this.#ask(tenant, state, 0, now);
  }

  #ask(tenant: string, state: TenantState, needed: number, now: Milliseconds): void {
    const held = state.leases.tokens(now);
    const advance = isBusy(state, now)
      ? (state.gate.demand(now) * ADVANCE_MS) / MILLISECONDS_IN_SECOND
      : 0;
    const missing = Math.max(0, needed - held);
    const waiting = state.waitingTokens + state.retriedTokens;
    state.retriedTokens = 0;
    this.#nextNumber += 1;
    const request: LeaseRequest = {
      number: this.#nextNumber,
      tenant,
      needed: Math.ceil(missing),
      wanted: Math.ceil(Math.max(missing, needed + waiting + advance - held)),
      weight: Math.ceil(state.gate.weight(now)),
      returned: Math.floor(state.returned + state.leases.takeExpired(now)),
      refunded: Math.floor(state.refunded),
    };
    const issuer = this.#issuerOf(tenant, state, now);
    state.returned = 0;
    state.refunded = 0;
    state.askedAt = now;
    state.pending = { ...request, issuer, sentAt: now };
    this.#options.send(issuer, request);
  }

  /** Records an answer of an issuer, which is therefore not passed over any more. */
  #noteAnswer(issuer: string, tookMs: Milliseconds): void {
    const before = this.#answerMs.get(issuer) ?? 0;
    this.#answerMs.set(issuer, Math.max(tookMs, before * ANSWER_TIME_DECAY));
    this.#passedOverUntil.delete(issuer);
  }

  /** Returns the time after which an issuer that has not answered is passed over. */
  #patienceWith(issuer: string): Milliseconds {
    const expectedMs = (this.#answerMs.get(issuer) ?? 0) * PATIENCE_FACTOR;
    return Math.min(MAX_PATIENCE_MS, Math.max(MIN_PATIENCE_MS, expectedMs));
  }

  #passOver(issuer: string, now: Milliseconds, forMs: Milliseconds = PASSED_OVER_MS): void {
    if (issuer !== this.#options.self) {
      this.#passedOverUntil.set(issuer, now + Math.min(PASSED_OVER_MS, forMs));
    }
  }

  #issuerOf(tenant: string, state: TenantState, now: Milliseconds): string {
    const { self, peers, capacityOf = () => 0 } = this.#options;
    if (now - state.orderedAt > ORDER_MAX_AGE_MS) {
      const order = orderIssuers(tenant, [self, ...peers()], capacityOf);
      state.order = order.slice(0, MAX_PASSED_OVER);
      state.orderedAt = now;
    }
    return state.order.find((name) => !this.#passedOverUntil.has(name)) ?? self;
  }
}
