import type { Milliseconds } from '../clock/mod.ts';
import type { TokenLimit } from '../serving/mod.ts';
import { FleetShare } from './_fleetShare.ts';
import type { FleetView } from './_fleetShare.ts';
import { orderIssuers } from './_orderIssuers.ts';
import { TenantLedger } from './_tenantLedger.ts';
import type { LeaseAnswer, LeaseRequest } from './leaseMessages.ts';
import { planLimit } from './planLimit.ts';
import type { LimitBounds } from './planLimit.ts';

/** Options of `TokenLimitIssuer`. */
export type TokenLimitIssuerOptions = {
  /** Name of this entry among its peers. */
  readonly self: string;
  readonly startedAt: Milliseconds;
  /** Returns the limit of a tenant; `undefined` without one. */
  readonly limitOf: (tenant: string) => TokenLimit | undefined;
  readonly bounds: LimitBounds;
  readonly fleet: () => FleetView;
  /** Returns the capacity of an entry; 0 if it is unknown. @default always unknown */
  readonly capacityOf?: ((name: string) => number) | undefined;
  /** Number of entries assumed until more are known; 1 for an entry without peers. @default 1 */
  readonly minKnown?: number;
};

/**
 * Time after the start in which nothing is issued: an entry that has not heard of the others yet would issue
 * as if it were alone.
 */
const WARM_UP_MS: Milliseconds = 1500;

/** Share of the entries that must be heard of for tokens to have been saved up before the first request. */
const MIN_SAVING_SHARE = 0.9;

const MILLISECONDS_IN_SECOND = 1000;

/** Time without a request after which a tenant's ledger is dropped; longer than any window. */
const MAX_IDLE_MS: Milliseconds = 60_000;

/** Time for which the order of the entries for a tenant is kept. */
const ORDER_MAX_AGE_MS: Milliseconds = 300;

type Order = {
  readonly at: Milliseconds;
  /** Whether this entry comes first among those heard of lately. */
  readonly isFirstHeard: boolean;
  /** Whether it comes first also with those that have fallen silent. */
  readonly isFirstKnown: boolean;
};

/**
 * Issues leases on the tokens of tenants, at no more than their limits over all entries.
 *
 * The first entry in rendezvous order of a tenant issues the share of the entries that it hears of. Any
 * other that is asked, since the first does not answer, issues the share of the entries that ask it, and
 * little after a short time.
 */
export class TokenLimitIssuer {
  readonly #options: TokenLimitIssuerOptions;

  readonly #fleetShare: FleetShare;

  readonly #ledgers = new Map<string, TenantLedger>();

  readonly #orders = new Map<string, Order>();

  constructor(options: TokenLimitIssuerOptions) {
    this.#options = options;
    this.#fleetShare = new FleetShare(options.minKnown ?? 1);
  }

  /** Number of tenants whose tokens this entry issues. */
  get size(): number {
    return this.#ledgers.size;
  }

  /** Answers a request of an entry. */
  request(name: string, request: LeaseRequest, now: Milliseconds): LeaseAnswer {
    const { number, tenant, wanted, needed } = request;
    const fleet = this.#options.fleet();
    const known = this.#fleetShare.knownCount(fleet, now);
    const limit = this.#options.limitOf(tenant);
    const remainingWarmUpMs = known > 1 ? this.#options.startedAt + WARM_UP_MS - now : 0;
    if (limit === undefined || remainingWarmUpMs > 0) {
      // Without a limit, the configuration that contains the tenant has not arrived yet.
      const waitMs = remainingWarmUpMs > 0 ? remainingWarmUpMs : WARM_UP_MS;
      return { number, tenant, isReady: false, tokens: 0, isShort: true, waitMs };
    }
    const plan = planLimit(limit, this.#options.bounds);
    const order = this.#orderOf(tenant, fleet, now);
    const heardShare = this.#fleetShare.heardShare(fleet, now);
    const ledger = this.#ledgerOf(tenant, plan.perSecond, now, () => {
      // No other entry can have been asked for this tenant; tokens accrue from the start, never before it.
      const hasSaved = order.isFirstKnown && heardShare >= MIN_SAVING_SHARE;
      const savedMs = hasSaved ? now - this.#options.startedAt : 0;
      return Math.min(plan.capacity, (savedMs * plan.perSecond) / MILLISECONDS_IN_SECOND);
    });
    ledger.noteAsking(name, Math.max(request.weight, needed), now);
    const askingShare = this.#fleetShare.askingShare(ledger.askingCount(now), fleet, now);
    const issuedPlan = order.isFirstHeard
      ? { ...plan, perSecond: plan.perSecond * heardShare, capacity: plan.capacity * heardShare }
      : ledger.standIn(plan, askingShare, now);
    const issued = ledger.issue(name, request, issuedPlan, now);
    if (!order.isFirstHeard) ledger.noteStandIn(issued.tokens, askingShare);
    return { number, tenant, isReady: true, isShort: issued.tokens < wanted, ...issued };
  }

  /** Drops what has not been used for long. Call it about once a second. */
  tick(now: Milliseconds): void {
    this.#ledgers.forEach(({ usedAt }, tenant) => {
      if (now - usedAt <= MAX_IDLE_MS) return;
      this.#ledgers.delete(tenant);
      this.#orders.delete(tenant);
    });
  }

  #ledgerOf(
    tenant: string,
    perSecond: number,
    now: Milliseconds,
    initialTokens: () => number,
  ): TenantLedger {
    let ledger = this.#ledgers.get(tenant);
    if (ledger === undefined) {
      ledger = new TenantLedger(now, initialTokens(), perSecond);
      this.#ledgers.set(tenant, ledger);
    }
    return ledger;
  }

  #orderOf(tenant: string, fleet: FleetView, now: Milliseconds): Order {
    const kept = this.#orders.get(tenant);
    if (kept !== undefined && now - kept.at <= ORDER_MAX_AGE_MS) return kept;
    const { self, capacityOf = () => 0 } = this.#options;
    const isFirstOf = (others: readonly string[]): boolean =>
      orderIssuers(tenant, [self, ...others], capacityOf)[0] === self;
    const order = {
      at: now,
      isFirstHeard: isFirstOf(fleet.heard),
      isFirstKnown: isFirstOf(fleet.known),
    };
    this.#orders.set(tenant, order);
    return order;
  }
}
