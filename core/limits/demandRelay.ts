import type { Milliseconds } from '../clock/mod.ts';
import type { DemandTotal, TenantDemand } from './tenantDemand.ts';

/** Options of a `DemandRelay`. */
export type DemandRelayOptions = {
  /** Age at which an entry's report is dropped. @default 1000 */
  readonly staleAfterMs?: Milliseconds;
  /** Maximum number of entries; reports of more are ignored. @default 1024 */
  readonly maxEntries?: number;
  /** Maximum number of tenants in the report of one entry; more are ignored. @default 256 */
  readonly maxTenants?: number;
};

type EntryReport = { readonly receivedAt: Milliseconds; readonly demand: readonly TenantDemand[] };

function addDemand(totals: ReadonlyMap<string, DemandTotal>, demand: TenantDemand): DemandTotal {
  const { tenant } = demand;
  const known = totals.get(tenant);
  return {
    tenant,
    requestsPerSecond: (known?.requestsPerSecond ?? 0) + demand.requestsPerSecond,
    requestsInFlight: (known?.requestsInFlight ?? 0) + demand.requestsInFlight,
    entries: (known?.entries ?? 0) + 1,
  };
}

/** Sums the demand that entries report, from which each entry computes its share of a limit. */
export class DemandRelay {
  readonly #options: Required<DemandRelayOptions>;

  readonly #reports = new Map<string, EntryReport>();

  constructor(options: DemandRelayOptions = {}) {
    this.#options = { staleAfterMs: 1000, maxEntries: 1024, maxTenants: 256, ...options };
  }

  /** Stores an entry's report, which replaces its previous one. */
  applyReport(entry: string, demand: readonly TenantDemand[], now: Milliseconds): void {
    if (demand.length === 0) return;
    if (this.#reports.size >= this.#options.maxEntries && !this.#reports.has(entry)) return;
    this.#reports.set(entry, {
      receivedAt: now,
      demand: demand.slice(0, this.#options.maxTenants),
    });
  }

  /** Returns the demand of each tenant, summed over the reports that are not stale. */
  totals(now: Milliseconds): readonly DemandTotal[] {
    const totals = new Map<string, DemandTotal>();
    for (const [entry, report] of this.#reports) {
      if (now - report.receivedAt >= this.#options.staleAfterMs) this.#reports.delete(entry);
      else report.demand.forEach((demand) => totals.set(demand.tenant, addDemand(totals, demand)));
    }
    return [...totals.values()];
  }
}
