import { rendezvousOrder } from '../../core/placement/mod.ts';
import type { AdapterVersion } from '../../core/identity/mod.ts';
import type { RandomSource } from './trace.ts';

/** A server that a baseline can choose. */
export type Candidate = { readonly host: string; readonly load: number };

/** The input of a baseline routing decision. */
export type RoutingInput = {
  readonly adapterVersion: AdapterVersion;
  readonly candidates: readonly Candidate[];
  readonly nextRandom: RandomSource;
};

/** The routing baselines that the product is compared with. */
export type BaselineName = 'random' | 'least-loaded' | 'rendezvous';

function leastLoaded({ candidates, nextRandom }: RoutingInput): string | undefined {
  const least = Math.min(...candidates.map(({ load }) => load));
  const best = candidates.filter(({ load }) => load === least);
  return best[Math.floor(nextRandom() * best.length)]?.host;
}

/** The baseline routing functions; each returns the chosen host. */
export const BASELINE_ROUTERS: Readonly<
  Record<BaselineName, (input: RoutingInput) => string | undefined>
> = {
  random: ({ candidates, nextRandom }) =>
    candidates[Math.floor(nextRandom() * candidates.length)]?.host,
  'least-loaded': leastLoaded,
  rendezvous: ({ adapterVersion, candidates }) =>
    rendezvousOrder(
      adapterVersion,
      candidates.map(({ host }) => host),
    )[0],
};
