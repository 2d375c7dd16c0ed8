import { createAdaptiveRateLimiter, createStaticRateLimiter } from '../../core/residence/mod.ts';
import type { LoadRateLimiter, EngineSchedulerOptions } from '../../core/residence/mod.ts';
import type { RouteTableOptions } from '../../core/placement/mod.ts';
import type { Deployment } from './deployment.ts';
import type { BaselineName } from './baselineRouters.ts';
import type { PoolPolicy } from '../../core/set/mod.ts';
import type { RoutingStrategy } from './simulatedEntry.ts';

/** How the servers share the load rate of the weight store. */
export type RateLimiterKind = 'static' | 'adaptive';

/** The routing and scheduling settings of one contender. */
export type Contender = {
  readonly route: (policy: PoolPolicy) => RoutingStrategy;
  readonly rateLimiter: RateLimiterKind;
  readonly schedulerOptions: Pick<
    EngineSchedulerOptions,
    'eviction' | 'minResidenceMs' | 'refuseOnArrival'
  >;
};

/** Creates the load rate limiter of one server. */
export const RATE_LIMITERS: Readonly<
  Record<RateLimiterKind, (deployment: Deployment) => LoadRateLimiter>
> = {
  static: ({ loadsPerSecond, engines }) => createStaticRateLimiter(loadsPerSecond / engines),
  adaptive: ({ loadsPerSecond, engines }) =>
    createAdaptiveRateLimiter({
      floorPerSecond: loadsPerSecond / engines,
      ceilingPerSecond: loadsPerSecond,
    }),
};

function createBaseline(name: BaselineName): Contender {
  return {
    route: () => ({ kind: 'baseline', name }),
    rateLimiter: 'static',
    schedulerOptions: { eviction: 'recency', minResidenceMs: 0, refuseOnArrival: 'none' },
  };
}

function routeByTable(options: Omit<RouteTableOptions, 'policy'> = {}): Contender['route'] {
  return (policy) => ({ kind: 'table', options: { policy, ...options } });
}

/** The product with its default settings. */
export const PRODUCT: Contender = {
  route: routeByTable(),
  rateLimiter: 'adaptive',
  schedulerOptions: {},
};

/** The cases that also run variants of the product with one component replaced. */
export const ABLATION_CASES: readonly string[] = ['steady', 'shifted', 'load-130'];

/** The contenders of cases without ablations. */
export const MAIN_CONTENDERS: readonly string[] = [
  'random',
  'least-loaded',
  'rendezvous',
  'product',
];

/** The simulated contenders by name. The clairvoyant bound is computed and not listed here. */
export const CONTENDERS: Readonly<Record<string, Contender>> = {
  random: createBaseline('random'),
  'least-loaded': createBaseline('least-loaded'),
  rendezvous: createBaseline('rendezvous'),
  product: PRODUCT,
  'full-scan': { ...PRODUCT, route: routeByTable({ search: 'full-scan' }) },
  'static-rate': { ...PRODUCT, rateLimiter: 'static' },
  'recency-eviction': { ...PRODUCT, schedulerOptions: { eviction: 'recency' } },
  'no-early-refusal': { ...PRODUCT, schedulerOptions: { refuseOnArrival: 'none' } },
};
