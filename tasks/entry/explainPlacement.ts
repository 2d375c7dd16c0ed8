import type { AdapterVersion } from '../../core/identity/mod.ts';
import { rendezvousOrder } from '../../core/placement/mod.ts';
import { resolveModel } from '../../core/set/mod.ts';
import type { PublishedSet } from '../../core/set/mod.ts';
import type { NotRun } from '../../core/outcome/mod.ts';
import type { EntryInspection } from './entryTask.ts';
import type { LinkStatus } from './linkTask.ts';

/** One backend server of the adapter's pool, with what the choice looks at. */
export type ExplainedCandidate = {
  readonly host: string;
  readonly backendServer: string;
  readonly health: LinkStatus['health'];
  readonly takesWork: boolean;
  readonly chosen: boolean;
  readonly terms: {
    /** Place in the adapter's rendezvous order, from 0. */
    readonly rendezvousRank: number;
    readonly running: number;
    readonly waiting: number;
    readonly batchWidth: number;
    /** Requests over batch width. */
    readonly load: number;
    readonly isResident: boolean;
    readonly isWanted: boolean;
    /** Adapter versions that load or wait for a load. */
    readonly wanted: number;
    readonly freeSlots: number;
    /** Recent uses of the adapter version that a load would displace. */
    readonly displacedUses: number;
  };
};

/** Where a model's next request would go, and why. */
export type PlacementExplanation =
  | {
      readonly kind: 'placement';
      readonly adapterVersion: AdapterVersion;
      readonly pool: string;
      readonly generation: number;
      readonly chosen: string | undefined;
      readonly candidates: readonly ExplainedCandidate[];
      /** Candidates that are not shown. */
      readonly hidden: number;
    }
  | NotRun
  | { readonly kind: 'starting' };

/** The most candidates in one answer. */
const MOST_CANDIDATES = 100;

function explainCandidates(
  inspection: EntryInspection,
  set: PublishedSet,
  pool: string,
  adapterVersion: AdapterVersion,
): readonly ExplainedCandidate[] {
  const { statuses, membership } = inspection;
  const ofPool = statuses.filter(
    ({ report }) => set.backendServers.get(report.backendServer)?.pool === pool,
  );
  const described = ofPool.map(({ host, health, incarnation, report }) => ({
    host,
    health,
    backendServer: report.backendServer,
    takesWork: health === 'ready' && membership.mayTakeWork(host, incarnation),
    running: report.running,
    waiting: report.waiting,
    batchWidth: report.batchWidth,
    isResident: report.resident.includes(adapterVersion),
    isWanted: report.wanted?.includes(adapterVersion) ?? false,
    wanted: report.wanted?.length ?? 0,
    freeSlots: report.freeSlots ?? 0,
    displacedUses: report.displacedUses ?? 0,
  }));
  const chosen = inspection.choose(pool, adapterVersion);
  const order = rendezvousOrder(
    adapterVersion,
    described.map((each) => each.host),
  );
  const ranks = new Map(order.map((host, rank) => [host, rank]));
  return described
    .map(({ host, health, backendServer, takesWork, ...terms }) => ({
      host,
      backendServer,
      health,
      takesWork,
      chosen: host === chosen,
      terms: {
        rendezvousRank: ranks.get(host) ?? 0,
        load: (terms.running + terms.waiting) / terms.batchWidth,
        ...terms,
      },
    }))
    .sort((a, b) => a.terms.rendezvousRank - b.terms.rendezvousRank);
}

/**
 * Says where a model's next request would go from this entry.
 *
 * @param inspection What the entry knows.
 * @param model `tenant/adapter@version` or a route.
 * @param tenant The tenant that would ask.
 */
export function explainPlacement(
  inspection: EntryInspection,
  model: string,
  tenant: string,
): PlacementExplanation {
  const { set } = inspection;
  if (set === undefined) return { kind: 'starting' };
  const resolved = resolveModel(set, model, tenant);
  if (resolved.kind === 'not-run') return resolved;
  const { adapterVersion, pool, generation } = resolved;
  const candidates = explainCandidates(inspection, set, pool.name, adapterVersion);
  return {
    kind: 'placement',
    adapterVersion,
    pool: pool.name,
    generation,
    chosen: candidates.find((each) => each.chosen)?.host,
    candidates: candidates.filter((each, rank) => each.chosen || rank < MOST_CANDIDATES),
    hidden: Math.max(0, candidates.length - MOST_CANDIDATES),
  };
}
