import { createAdaptiveRateLimiter, createStaticRateLimiter } from '../../core/residence/mod.ts';
import type { LoadRateLimiter, EngineSchedulerOptions } from '../../core/residence/mod.ts';
import type { RouteTableOptions } from '../../core/placement/mod.ts';
import type { Deployment } from './deployment.ts';
import type { BaselineRoute } from './routes.ts';
import type { PoolPolicy } from '../../core/set/mod.ts';
import type { Route } from './simulatedEntry.ts';

/** How the servers share the store's rate. */
export type RateKind = 'static' | 'adaptive';

/** How one contender decides. */
export type Contender = {
  readonly route: (policy: PoolPolicy) => Route;
  readonly rate: RateKind;
  readonly residence: Pick<
    EngineSchedulerOptions,
    'eviction' | 'minResidenceMs' | 'refuseOnArrival'
  >;
};

/** Creates one server's rate. */
export const RATES: Readonly<Record<RateKind, (deployment: Deployment) => LoadRateLimiter>> = {
  static: ({ loadsPerSecond, engines }) => createStaticRateLimiter(loadsPerSecond / engines),
  adaptive: ({ loadsPerSecond, engines }) =>
    createAdaptiveRateLimiter({
      floorPerSecond: loadsPerSecond / engines,
      ceilingPerSecond: loadsPerSecond,
    }),
};

function baseline(name: BaselineRoute): Contender {
  return {
    route: () => ({ kind: 'baseline', name }),
    rate: 'static',
    residence: { eviction: 'recency', minResidenceMs: 0, refuseOnArrival: 'none' },
  };
}

function table(options: Omit<RouteTableOptions, 'policy'> = {}): Contender['route'] {
  return (policy) => ({ kind: 'table', options: { policy, ...options } });
}

/** The product as it is. */
export const PRODUCT: Contender = { route: table(), rate: 'adaptive', residence: {} };

/** The cases in which the product is also run with a part replaced. */
export const PART_CASES: readonly string[] = ['steady', 'shifted', 'load-130'];

/** The contenders that run in every case. */
export const WHOLE_CONTENDERS: readonly string[] = [
  'random',
  'least-loaded',
  'rendezvous',
  'product',
];

/** The contenders by name; the clairvoyant bound is not simulated and stands apart. */
export const CONTENDERS: Readonly<Record<string, Contender>> = {
  random: baseline('random'),
  'least-loaded': baseline('least-loaded'),
  rendezvous: baseline('rendezvous'),
  product: PRODUCT,
  'full-scan': { ...PRODUCT, route: table({ search: 'full-scan' }) },
  'static-rate': { ...PRODUCT, rate: 'static' },
  'recency-eviction': { ...PRODUCT, residence: { eviction: 'recency' } },
  'no-early-refusal': { ...PRODUCT, residence: { refuseOnArrival: 'none' } },
};
