import { chooseBackendServer, rendezvousOrder } from '../../core/placement/mod.ts';
import type { Candidate } from '../../core/placement/mod.ts';
import type { AdapterVersion } from '../../core/identity/mod.ts';
import type { Draw } from './trace.ts';

/** What a route may look at. */
export type RouteView = {
  readonly adapterVersion: AdapterVersion;
  readonly candidates: readonly Candidate[];
  readonly draw: Draw;
};

/** The names of the routes. */
export type RouteKind = 'random' | 'least-loaded' | 'rendezvous' | 'product';

function leastLoaded({ candidates, draw }: RouteView): string | undefined {
  const load = (each: Candidate): number => each.running + each.waiting;
  const least = Math.min(...candidates.map(load));
  const best = candidates.filter((each) => load(each) === least);
  return best[Math.floor(draw() * best.length)]?.host;
}

/** Each route returns the host that it chooses. */
export const ROUTES: Readonly<Record<RouteKind, (view: RouteView) => string | undefined>> = {
  random: ({ candidates, draw }) => candidates[Math.floor(draw() * candidates.length)]?.host,
  'least-loaded': leastLoaded,
  rendezvous: ({ adapterVersion, candidates }) =>
    rendezvousOrder(
      adapterVersion,
      candidates.map(({ host }) => host),
    )[0],
  product: ({ adapterVersion, candidates }) =>
    chooseBackendServer(adapterVersion, candidates)?.host,
};
