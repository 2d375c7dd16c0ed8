import type { Milliseconds } from '../clock/mod.ts';
import type { DemandTotal, TenantDemand } from './tenantDemand.ts';

/** How to build a `DemandRelay`. */
export type DemandRelayOptions = {
  /** Time after which an entry's word no longer counts. @default 1000 */
  readonly staleAfterMs?: Milliseconds;
  /** The most entries that are heard. @default 1024 */
  readonly mostEntries?: number;
  /** The most tenants that are read from one entry. @default 256 */
  readonly mostTenants?: number;
};

type Word = { readonly at: Milliseconds; readonly demand: readonly TenantDemand[] };

function sum(totals: ReadonlyMap<string, DemandTotal>, demand: TenantDemand): DemandTotal {
  const { tenant } = demand;
  const known = totals.get(tenant);
  return {
    tenant,
    requestsPerSecond: (known?.requestsPerSecond ?? 0) + demand.requestsPerSecond,
    requestsInFlight: (known?.requestsInFlight ?? 0) + demand.requestsInFlight,
    entries: (known?.entries ?? 0) + 1,
  };
}

/** Sums what entries say of tenants' demand, so that each may take its part of a limit. */
export class DemandRelay {
  readonly #options: Required<DemandRelayOptions>;

  readonly #words = new Map<string, Word>();

  constructor(options: DemandRelayOptions = {}) {
    this.#options = { staleAfterMs: 1000, mostEntries: 1024, mostTenants: 256, ...options };
  }

  /** Notes what an entry says. */
  note(entry: string, demand: readonly TenantDemand[], now: Milliseconds): void {
    if (demand.length === 0) return;
    if (this.#words.size >= this.#options.mostEntries && !this.#words.has(entry)) return;
    this.#words.set(entry, { at: now, demand: demand.slice(0, this.#options.mostTenants) });
  }

  /** Returns the totals over the entries heard of late. */
  totals(now: Milliseconds): readonly DemandTotal[] {
    const totals = new Map<string, DemandTotal>();
    for (const [entry, word] of this.#words) {
      if (now - word.at >= this.#options.staleAfterMs) this.#words.delete(entry);
      else word.demand.forEach((demand) => totals.set(demand.tenant, sum(totals, demand)));
    }
    return [...totals.values()];
  }
}
