import type { Milliseconds } from '../clock/mod.ts';

/** What is known of one server for one request. */
export type RouteFacts = {
  /** Requests at the server. */
  readonly load: number;
  readonly batchWidth: number;
  /** Adapter versions that load or wait for a load. */
  readonly wanted: number;
  readonly freeSlots: number;
  /** Recent uses of the adapter version that a load would displace. */
  readonly displacedUses: number;
  readonly distanceMs: Milliseconds;
  readonly isResident: boolean;
  readonly isWanted: boolean;
  /** Whether the server is first in the rendezvous order. */
  readonly isPreferred: boolean;
};

/** How much each part of the cost counts. */
export type RouteWeights = {
  readonly stall: number;
  readonly queue: number;
  readonly batchLoss: number;
  readonly distance: number;
  readonly disagreement: number;
  readonly displaced: number;
};

const LOAD_MS: Milliseconds = 250;

/** Time that each adapter version ahead in the load queue adds. */
const LOAD_GAP_MS: Milliseconds = 500;

/** Time until a slot in use comes free. */
const SLOT_WAIT_MS: Milliseconds = 1500;

/** Missing slots beyond which waiting for one counts no more. */
const MISSING_SLOTS = 2;

/** Time until a full batch takes in another request, for each batch ahead. */
const BATCH_WAIT_MS: Milliseconds = 2000;

/** What running alone in a batch counts for. */
const LONE_BATCH_MS: Milliseconds = 1500;

/** What displacing an adapter version that was used recently counts for. */
const DISPLACED_MS: Milliseconds = 500;

/** What a server other than the preferred one counts for. */
const DISAGREEMENT_MS: Milliseconds = 50;

function stallOf(facts: RouteFacts): Milliseconds {
  if (facts.isResident) return 0;
  const loadsMs = LOAD_MS + facts.wanted * LOAD_GAP_MS;
  // A load that was asked for earlier is on average half done.
  if (facts.isWanted) return loadsMs / 2;
  const missing = Math.max(0, facts.wanted + 1 - facts.freeSlots);
  return loadsMs + Math.min(MISSING_SLOTS, missing) * SLOT_WAIT_MS;
}

function queueOf({ load, batchWidth }: RouteFacts): Milliseconds {
  return (Math.max(0, load + 1 - batchWidth) / batchWidth) * BATCH_WAIT_MS;
}

function batchLossOf({ load, batchWidth }: RouteFacts): Milliseconds {
  return Math.max(0, 1 - (load + 1) / batchWidth) * LONE_BATCH_MS;
}

function displacedOf({ isResident, isWanted, displacedUses }: RouteFacts): Milliseconds {
  return isResident || isWanted ? 0 : (displacedUses / (1 + displacedUses)) * DISPLACED_MS;
}

/**
 * Returns what sending a request to a server is expected to cost, as a time.
 *
 * @param facts What is known of the server.
 * @param weights What the pool's policy makes of each part.
 */
export function routeCost(facts: RouteFacts, weights: RouteWeights): Milliseconds {
  return (
    weights.stall * stallOf(facts) +
    weights.queue * queueOf(facts) +
    weights.batchLoss * batchLossOf(facts) +
    weights.displaced * displacedOf(facts) +
    weights.distance * facts.distanceMs +
    weights.disagreement * (facts.isPreferred ? 0 : DISAGREEMENT_MS)
  );
}
