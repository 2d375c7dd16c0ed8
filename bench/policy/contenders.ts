import { createAdaptiveRate, createStaticRate } from '../../core/residence/mod.ts';
import type { LoadRate, ResidenceOptions } from '../../core/residence/mod.ts';
import type { Deployment } from './deployment.ts';
import type { RouteKind } from './routes.ts';

/** How the servers share the store's rate. */
export type RateKind = 'static' | 'adaptive';

/** How one contender decides. */
export type Contender = {
  readonly route: RouteKind;
  readonly rate: RateKind;
  readonly residence: Pick<ResidenceOptions, 'eviction' | 'minResidenceMs'>;
};

/** Creates one server's rate. */
export const RATES: Readonly<Record<RateKind, (deployment: Deployment) => LoadRate>> = {
  static: ({ loadsPerSecond, engines }) => createStaticRate(loadsPerSecond / engines),
  adaptive: ({ loadsPerSecond, engines }) =>
    createAdaptiveRate({
      floorPerSecond: loadsPerSecond / engines,
      ceilingPerSecond: loadsPerSecond,
    }),
};

const PLAIN = {
  rate: 'static',
  residence: { eviction: 'recency', minResidenceMs: 0 },
} as const;

const PRODUCT = { route: 'product', rate: 'adaptive', residence: {} } as const;

/** The contenders by name; the clairvoyant bound is not simulated and stands apart. */
export const CONTENDERS: Readonly<Record<string, Contender>> = {
  random: { ...PLAIN, route: 'random' },
  'least-loaded': { ...PLAIN, route: 'least-loaded' },
  rendezvous: { ...PLAIN, route: 'rendezvous' },
  product: PRODUCT,
  'static-rate': { ...PRODUCT, rate: 'static' },
  'recency-eviction': { ...PRODUCT, residence: { eviction: 'recency' } },
  'no-min-residence': { ...PRODUCT, residence: { minResidenceMs: 0 } },
};
