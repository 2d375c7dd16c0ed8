import { rendezvousOrder } from '../../core/placement/mod.ts';
import type { AdapterVersion } from '../../core/identity/mod.ts';
import type { Draw } from './trace.ts';

/** A server as the baselines see it. */
export type Candidate = { readonly host: string; readonly load: number };

/** What a baseline's route looks at. */
export type RouteView = {
  readonly adapterVersion: AdapterVersion;
  readonly candidates: readonly Candidate[];
  readonly draw: Draw;
};

/** The baselines' routes. */
export type BaselineRoute = 'random' | 'least-loaded' | 'rendezvous';

function leastLoaded({ candidates, draw }: RouteView): string | undefined {
  const least = Math.min(...candidates.map(({ load }) => load));
  const best = candidates.filter(({ load }) => load === least);
  return best[Math.floor(draw() * best.length)]?.host;
}

/** Each route returns the host that it chooses. */
export const ROUTES: Readonly<Record<BaselineRoute, (view: RouteView) => string | undefined>> = {
  random: ({ candidates, draw }) => candidates[Math.floor(draw() * candidates.length)]?.host,
  'least-loaded': leastLoaded,
  rendezvous: ({ adapterVersion, candidates }) =>
    rendezvousOrder(
      adapterVersion,
      candidates.map(({ host }) => host),
    )[0],
};
