import type { ResidenceOptions } from '../../core/residence/mod.ts';
import type { RouteKind } from './routes.ts';

/** How one contender decides. */
export type Contender = {
  readonly route: RouteKind;
  /** Residence options beside those of the deployment. */
  readonly residence?: Partial<ResidenceOptions>;
};

/** The contenders by name; the clairvoyant bound is not simulated and stands apart. */
export const CONTENDERS: Readonly<Record<string, Contender>> = {
  random: { route: 'random' },
  'least-loaded': { route: 'least-loaded' },
  rendezvous: { route: 'rendezvous' },
  product: { route: 'product' },
};
