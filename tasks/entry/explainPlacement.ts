import type { AdapterVersion } from '../../core/identity/mod.ts';
import { rendezvousOrder } from '../../core/placement/mod.ts';
import { resolveModel } from '../../core/set/mod.ts';
import type { PublishedSet } from '../../core/set/mod.ts';
import type { NotRun } from '../../core/outcome/mod.ts';
import type { EntryInspection } from './entryTask.ts';
import type { LinkStatus } from './linkTask.ts';

/** One backend server of the adapter's pool, with the inputs of its routing score. */
export type ExplainedCandidate = {
  readonly host: string;
  readonly backendServer: string;
  readonly health: LinkStatus['health'];
  /** Whether the link is ready and the host may take new work; disregards ejection. */
  readonly takesWork: boolean;
  readonly chosen: boolean;
  readonly terms: {
    /** Rank in the adapter's rendezvous hash order, from 0. */
    readonly rendezvousRank: number;
    readonly running: number;
    readonly waiting: number;
    readonly batchWidth: number;
    /** Running and waiting requests divided by the batch width. */
    readonly load: number;
    readonly isResident: boolean;
    readonly isWanted: boolean;
    /** Number of adapter versions that are loading or queued for a load. */
    readonly wanted: number;
    readonly freeSlots: number;
    /** Decayed use count of the adapter version that a load would evict. */
    readonly displacedUses: number;
  };
};

/** Where a model's next request would be routed, and why. */
export type PlacementExplanation =
  | {
      readonly kind: 'placement';
      readonly adapterVersion: AdapterVersion;
      readonly pool: string;
      readonly generation: number;
      readonly chosen: string | undefined;
      readonly candidates: readonly ExplainedCandidate[];
      /** Number of candidates left out. */
      readonly hidden: number;
    }
  | NotRun
  | { readonly kind: 'starting' };

/** Maximum number of candidates per explanation, besides the chosen one. */
const MAX_CANDIDATES = 100;

function explainCandidates(
  inspection: EntryInspection,
  set: PublishedSet,
  pool: string,
  adapterVersion: AdapterVersion,
): readonly ExplainedCandidate[] {
  const { statuses, membership } = inspection;
  const inPool = statuses.filter(
    ({ report }) => set.backendServers.get(report.backendServer)?.pool === pool,
  );
  const unranked = inPool.map(({ host, health, incarnation, report }) => ({
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
    unranked.map((each) => each.host),
  );
  const ranks = new Map(order.map((host, rank) => [host, rank]));
  return unranked
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
 * Explains where this entry would route a model's next request.
 *
 * @param inspection The entry's state.
 * @param model `tenant/adapter@version` or a route name.
 * @param tenant The tenant that would send the request.
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
    candidates: candidates.filter((each, rank) => each.chosen || rank < MAX_CANDIDATES),
    hidden: Math.max(0, candidates.length - MAX_CANDIDATES),
  };
}
