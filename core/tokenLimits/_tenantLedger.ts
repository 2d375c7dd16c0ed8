import type { Milliseconds } from '../clock/mod.ts';
import { TokenBucket } from '../limits/mod.ts';
import type { LeaseRequest } from './leaseMessages.ts';
import type { LimitPlan } from './planLimit.ts';

type Asker = {
  askedAt: Milliseconds;
  weight: number;
  /** Tokens that the entry may still get while there are too few, by its share of the demand. */
  claim: number;
  claimedAt: Milliseconds;
};

/** Tokens issued for a request, and when the tokens that it needs are expected. */
export type Issue = { readonly tokens: number; readonly waitMs: Milliseconds };

/** Time for which an entry's demand counts, and time within which it counts as asking. */
const DEMAND_MAX_AGE_MS: Milliseconds = 3000;
const ASKING_MAX_AGE_MS: Milliseconds = 1000;

/** Claims of all entries together, relative to the rate: above 1, so that what one leaves another gets. */
const CLAIM_FACTOR = 1.15;

/** Claims that an entry saves up, as time, besides the cost of two requests. */
const MAX_CLAIM_MS: Milliseconds = 300;

/** Share of the capacity above which tokens are issued regardless of claims. */
const SPARE_SHARE = 0.5;

/** Share of the rate at which tokens come back that were spent long ago. */
const REFUND_SHARE = 0.25;

/**
 * What an entry issues in place of a first one that is still heard of: enough until that one is known to be
 * silent, and little afterwards, since the first one may only be slow and issue as well.
 */
const STAND_IN_MS: Milliseconds = 1200;
const STAND_IN_SHARE = 0.05;

/** Part of its share that such an entry issues once that is used up. */
const USED_UP_FACTOR = 0.1;

const MAX_WAIT_MS: Milliseconds = 5000;

const MIN_WAIT_MS: Milliseconds = 10;

const MILLISECONDS_IN_SECOND = 1000;

function accrueClaim(asker: Asker, perMs: number, needed: number, now: Milliseconds): void {
  const most = Math.max(perMs * MAX_CLAIM_MS, 2 * needed);
  asker.claim = Math.min(most, asker.claim + (now - asker.claimedAt) * perMs);
  asker.claimedAt = now;
}

/** The tokens of one tenant that an issuer has at hand, and the entries that ask for them. */
export class TenantLedger {
  usedAt: Milliseconds;

  readonly #bucket: TokenBucket;

  /** Refunds come back at a limited rate, since what they pay for runs in another window. */
  readonly #refunds: TokenBucket;

  readonly #standIn: TokenBucket;

  readonly #askers = new Map<string, Asker>();

  /**
   * @param tokens Tokens at the start.
   * @param perSecond Rate of the limit.
   */
  constructor(now: Milliseconds, tokens: number, perSecond: number) {
    this.usedAt = now;
    const standIn = (perSecond * STAND_IN_MS) / MILLISECONDS_IN_SECOND;
    this.#standIn = new TokenBucket(now, 0, standIn);
    this.#bucket = new TokenBucket(now, 0, tokens);
    this.#refunds = new TokenBucket(now, 0, 0);
  }

  /** Tokens at hand. */
  get tokens(): number {
    return this.#bucket.tokens;
  }

  /** Number of entries that have asked within the last second. */
  askingCount(now: Milliseconds): number {
    return [...this.#askers.values()].filter(({ askedAt }) => now - askedAt <= ASKING_MAX_AGE_MS)
      .length;
  }

  /** Records that an entry asks. */
  noteAsking(name: string, weight: number, now: Milliseconds): void {
    this.usedAt = now;
    const asker = this.#askers.get(name) ?? {
      askedAt: now,
      weight,
      // As much as an entry may save up.
      claim: Infinity,
      claimedAt: now,
    };
    asker.askedAt = now;
    asker.weight = weight;
    this.#askers.set(name, asker);
    this.#askers.forEach(({ askedAt }, other) => {
      if (now - askedAt > DEMAND_MAX_AGE_MS) this.#askers.delete(other);
    });
  }

  /** Lowers what is issued to what may be issued in place of another entry. */
  standIn(plan: LimitPlan, share: number, now: Milliseconds): LimitPlan {
    const { perSecond } = plan;
    const most = (perSecond * STAND_IN_MS) / MILLISECONDS_IN_SECOND;
    this.#standIn.refill(now, perSecond * STAND_IN_SHARE, most);
    const isUsedUp = this.#standIn.tokens <= 0;
    const limitedShare = isUsedUp ? share * USED_UP_FACTOR : share;
    return { ...plan, perSecond: perSecond * limitedShare, capacity: plan.capacity * limitedShare };
  }

  /** Records tokens that were issued in place of another entry, to a share of the entries. */
  noteStandIn(tokens: number, share: number): void {
    this.#standIn.remove(tokens / share);
  }

  /** Issues tokens to an entry that asks. */
  issue(name: string, request: LeaseRequest, plan: LimitPlan, now: Milliseconds): Issue {
    const { wanted, needed, returned, refunded } = request;
    const { perSecond, capacity } = plan;
    this.#refunds.refill(now, perSecond * REFUND_SHARE, capacity);
    const refund = Math.min(refunded, Math.max(0, this.#refunds.tokens));
    this.#refunds.remove(refund);
    this.#bucket.putBack(returned + refund);
    this.#bucket.refill(now, perSecond, capacity);
    const asker = this.#askers.get(name)!;
    const claimPerMs = this.#claimPerMs(asker, perSecond);
    accrueClaim(asker, claimPerMs, needed, now);
    const spare = Math.max(0, this.tokens - capacity * SPARE_SHARE);
    const share = asker.claim + spare;
    const available = Math.min(wanted, share, this.tokens);
    // A request may cost more than can be saved up; the bucket is then overdrawn.
    const tokens = available < needed && share >= needed && this.tokens > 0 ? needed : available;
    const isEnough = tokens >= needed;
    const issued = isEnough ? Math.max(0, tokens) : 0;
    this.#bucket.remove(issued);
    asker.claim = Math.max(asker.claim - issued, -claimPerMs * MAX_CLAIM_MS);
    if (isEnough) return { tokens: issued, waitMs: 0 };
    const claimWaitMs = (needed - asker.claim) / claimPerMs;
    const bucketWaitMs = (-this.tokens / perSecond) * MILLISECONDS_IN_SECOND;
    const waitMs = Math.max(claimWaitMs, bucketWaitMs, MIN_WAIT_MS);
    return { tokens: 0, waitMs: Math.min(MAX_WAIT_MS, waitMs) };
  }

  #claimPerMs(asker: Asker, perSecond: number): number {
    const total = [...this.#askers.values()].reduce((sum, { weight }) => sum + weight, 0);
    const share = total > 0 ? asker.weight / total : 1;
    return Math.max(1e-9, (share * CLAIM_FACTOR * perSecond) / MILLISECONDS_IN_SECOND);
  }
}
