import type { Milliseconds } from '../../core/clock/mod.ts';
import { chooseRelays, TenantLimiter } from '../../core/limits/mod.ts';
import type { DemandTotal, LimitUse, TenantDemand } from '../../core/limits/mod.ts';
import type { Call } from '../../core/link/mod.ts';
import type { ListedHost } from '../../core/membership/mod.ts';
import type { NotRun } from '../../core/outcome/mod.ts';
import type { PublishedSet } from '../../core/set/mod.ts';

/** Calls that look up or revoke an idempotency key are exempt from limits. */
const UNLIMITED_CALLS: ReadonlySet<Call['kind']> = new Set(['lookup-key', 'revoke-key']);

/**
 * Enforces an entry's share of each tenant's limits.
 *
 * The shares depend on the demand at all entries, which sidecars relay between them.
 */
export class TenantLimits {
  readonly #limiter = new TenantLimiter();

  #sidecars: readonly string[] = [];

  #tenantsByRelay: ReadonlyMap<string, readonly string[]> = new Map();

  /** Applies the limits of the set in force. */
  applySet(set: PublishedSet, now: Milliseconds): void {
    this.#limiter.applyLimits(set.limits, now);
    this.#chooseRelays();
  }

  /** Applies a new host list. */
  applyHosts(hosts: readonly ListedHost[]): void {
    const live = hosts.filter((member) => member.state === 'live');
    this.#sidecars = live
      .filter((member) => member.role === 'sidecar')
      .map((member) => member.host);
    this.#limiter.setEntryCount(live.filter((member) => member.role === 'entry').length);
    this.#chooseRelays();
  }

  /** Applies the total demand of all entries, as reported by a sidecar. */
  applyTotals(relay: string, totals: readonly DemandTotal[], now: Milliseconds): void {
    this.#limiter.applyTotals(relay, totals, now);
  }

  /** Returns this entry's demand that a sidecar should relay. */
  demandFor(host: string, now: Milliseconds): readonly TenantDemand[] {
    return this.#limiter.demand(this.#tenantsByRelay.get(host) ?? [], now);
  }

  /** Admits a call or returns the refusal; call `release` when an admitted call ends. */
  admit(tenant: string, call: Call, now: Milliseconds): NotRun | undefined {
    return UNLIMITED_CALLS.has(call.kind) ? undefined : this.#limiter.admit(tenant, now);
  }

  /** Records that an admitted call has ended. */
  release(tenant: string, call: Call): void {
    if (!UNLIMITED_CALLS.has(call.kind)) this.#limiter.release(tenant);
  }

  /** Returns every limit with its current use. */
  uses(now: Milliseconds): readonly LimitUse[] {
    return this.#limiter.uses(now);
  }

  #chooseRelays(): void {
    this.#tenantsByRelay = chooseRelays(this.#limiter.tenants, this.#sidecars);
  }
}
