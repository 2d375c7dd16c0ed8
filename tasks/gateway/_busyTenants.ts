import { DemandMeter } from '../../core/limits/mod.ts';
import type { Milliseconds } from '../../core/clock/mod.ts';

/** Tenants that metrics name at one time, and in the life of the process. */
const MAX_BUSY = 10;
const MAX_NAMED = 30;

const RANKING_INTERVAL_MS: Milliseconds = 5000;

const TIME_CONSTANT_MS: Milliseconds = 30_000;

/** Demand below which a tenant's meter is dropped, in tokens a second. */
const MIN_DEMAND = 1;

/** Label of the metrics of all tenants that are not named. */
const OTHERS = '(others)';

/** Chooses the tenants that metrics name: the busiest ones, so that the number of series is bounded. */
export class BusyTenants {
  readonly #meters = new Map<string, DemandMeter>();

  readonly #named = new Set<string>();

  #busy: ReadonlySet<string> = new Set();

  #rankedAt = -Infinity;

  /** Counts tokens of a tenant; returns its label, its name or the common one of all others. */
  labelOf(tenant: string, tokens: number, now: Milliseconds): string {
    let meter = this.#meters.get(tenant);
    if (meter === undefined) {
      meter = new DemandMeter(now, TIME_CONSTANT_MS);
      this.#meters.set(tenant, meter);
    }
    meter.recordRequest(now, tokens);
    if (now - this.#rankedAt >= RANKING_INTERVAL_MS) this.#rank(now);
    if (!this.#busy.has(tenant)) return OTHERS;
    if (!this.#named.has(tenant) && this.#named.size >= MAX_NAMED) return OTHERS;
    this.#named.add(tenant);
    return tenant;
  }

  #rank(now: Milliseconds): void {
    this.#rankedAt = now;
    const demands = [...this.#meters].map(([tenant, meter]) => ({
      tenant,
      demand: meter.perSecond(now),
    }));
    demands
      .filter(({ demand }) => demand < MIN_DEMAND)
      .forEach(({ tenant }) => this.#meters.delete(tenant));
    const busiest = demands.sort((a, b) => b.demand - a.demand).slice(0, MAX_BUSY);
    this.#busy = new Set(busiest.map(({ tenant }) => tenant));
  }
}
