import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import { tenantOf } from './_openRequest.ts';
import type { OpenRequest, RequestEnd } from './_openRequest.ts';

/** Options of `TenantMetrics`. */
export type TenantMetricsOptions = {
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Number of tenants that have series of their own. @default 8 */
  readonly maxNamed?: number;
  /** Number of tenants that are counted each on its own. @default 20000 */
  readonly maxCounted?: number;
};

type TenantCounts = {
  /** Requests, where earlier ones count less. */
  weight: number;
  weighedAt: Milliseconds;
  readonly ends: Map<RequestEnd, number>;
};

/** Time in which the weight of a request halves, so that the busiest tenants are those of the last minutes. */
const HALF_LIFE_MS: Milliseconds = 60_000;

const DEFAULT_MAX_NAMED = 8;

const DEFAULT_MAX_COUNTED = 20_000;

/** Name of the series that sums all tenants that have none of their own. */
const OTHERS = 'other';

/** Counts ended requests by tenant: the busiest tenants by name, the others together. */
export class TenantMetrics {
  readonly #options: TenantMetricsOptions;

  readonly #tenants = new Map<string, TenantCounts>();

  constructor(options: TenantMetricsOptions) {
    this.#options = options;
    options.metrics.group('tenant_requests_total', () => this.#series());
  }

  /** Records the end of a request. */
  note(request: Pick<OpenRequest, 'identity'>, end: RequestEnd): void {
    const tenant = tenantOf(request);
    if (tenant === undefined) return;
    const now = this.#options.clock.now();
    const counts = this.#countsOf(tenant.name, now);
    counts.weight = TenantMetrics.#weightOf(counts, now) + 1;
    counts.weighedAt = now;
    counts.ends.set(end, (counts.ends.get(end) ?? 0) + 1);
  }

  #countsOf(name: string, now: Milliseconds): TenantCounts {
    const { maxCounted = DEFAULT_MAX_COUNTED } = this.#options;
    const isFull = this.#tenants.size >= maxCounted && !this.#tenants.has(name);
    const key = isFull ? OTHERS : name;
    const counts = this.#tenants.get(key) ?? { weight: 0, weighedAt: now, ends: new Map() };
    this.#tenants.set(key, counts);
    return counts;
  }

  static #weightOf({ weight, weighedAt }: TenantCounts, now: Milliseconds): number {
    return weight * 0.5 ** ((now - weighedAt) / HALF_LIFE_MS);
  }

  #series(): ReturnType<Parameters<Metrics['group']>[1]> {
    const { clock, maxNamed = DEFAULT_MAX_NAMED } = this.#options;
    const now = clock.now();
    const ordered = [...this.#tenants]
      .map(([name, counts]) => ({ name, counts, weight: TenantMetrics.#weightOf(counts, now) }))
      .sort((a, b) => b.weight - a.weight);
    const sums = new Map<RequestEnd, number>();
    ordered.slice(maxNamed).forEach(({ counts }) => {
      counts.ends.forEach((count, end) => sums.set(end, (sums.get(end) ?? 0) + count));
    });
    const named = ordered
      .slice(0, maxNamed)
      .map(({ name, counts }) => ({ name, ends: counts.ends }));
    return [...named, { name: OTHERS, ends: sums }].flatMap(({ name, ends }) =>
      [...ends].map(([end, value]) => ({ labels: { tenant: name, end }, value })),
    );
  }
}
