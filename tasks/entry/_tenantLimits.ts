import type { Milliseconds } from '../../core/clock/mod.ts';
import { chooseRelays, LimitKeeper } from '../../core/limits/mod.ts';
import type { DemandTotal, LimitUse, TenantDemand } from '../../core/limits/mod.ts';
import type { Call } from '../../core/link/mod.ts';
import type { ListedHost } from '../../core/membership/mod.ts';
import type { NotRun } from '../../core/outcome/mod.ts';
import type { PublishedSet } from '../../core/set/mod.ts';

/** Calls that only ask what became of a key; they are never refused for a limit. */
const UNLIMITED: ReadonlySet<Call['kind']> = new Set(['lookup-key', 'revoke-key']);

/** Holds an entry to its part of tenants' limits, with the sidecars that relay demand. */
export class TenantLimits {
  readonly #keeper = new LimitKeeper();

  #sidecars: readonly string[] = [];

  #relayed: ReadonlyMap<string, readonly string[]> = new Map();

  /** Takes the limits of the set in force. */
  applySet(set: PublishedSet, now: Milliseconds): void {
    this.#keeper.applyLimits(set.limits, now);
    this.#chooseRelays();
  }

  /** Takes the listed hosts. */
  applyHosts(hosts: readonly ListedHost[]): void {
    const live = hosts.filter((host) => host.state === 'live');
    this.#sidecars = live.filter((host) => host.role === 'sidecar').map((host) => host.host);
    this.#keeper.applyEntries(live.filter((host) => host.role === 'entry').length);
    this.#chooseRelays();
  }

  /** Takes what a sidecar hears of all entries. */
  noteTotals(relay: string, totals: readonly DemandTotal[], now: Milliseconds): void {
    this.#keeper.noteTotals(relay, totals, now);
  }

  /** Returns what a sidecar should relay. */
  demandFor(host: string, now: Milliseconds): readonly TenantDemand[] {
    return this.#keeper.demand(this.#relayed.get(host) ?? [], now);
  }

  /** Admits a call, or says why not; the end of an admitted call is told by `release`. */
  admit(tenant: string, call: Call, now: Milliseconds): NotRun | undefined {
    return UNLIMITED.has(call.kind) ? undefined : this.#keeper.admit(tenant, now);
  }

  /** Tells that an admitted call has ended. */
  release(tenant: string, call: Call): void {
    if (!UNLIMITED.has(call.kind)) this.#keeper.release(tenant);
  }

  /** Returns every limit with its use. */
  uses(now: Milliseconds): readonly LimitUse[] {
    return this.#keeper.uses(now);
  }

  #chooseRelays(): void {
    this.#relayed = chooseRelays(this.#keeper.tenants, this.#sidecars);
  }
}
