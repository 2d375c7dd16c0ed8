import type { Milliseconds } from '../clock/mod.ts';

/** The state of one server that decides the cost of sending it a request. */
export type RouteInputs = {
  /** Requests that run or wait at the server. */
  readonly load: number;
  /** Requests that the server can run at a time. */
  readonly batchWidth: number;
  /** Number of adapter versions that are loading or wait for a load. */
  readonly wanted: number;
  readonly freeSlots: number;
  /** Decayed use count of the adapter version that a load would evict; 0 when none is evicted. */
  readonly displacedUses: number;
  /** Distance between entry and server; 0 within an availability zone. */
  readonly distanceMs: Milliseconds;
  readonly isResident: boolean;
  /** Whether the adapter version is loading or waits for a load. */
  readonly isWanted: boolean;
  /** Whether the server is first in the rendezvous order of the adapter version. */
  readonly isPreferred: boolean;
};

/** Factors for the terms of the cost; 0 leaves a term out. */
export type RouteWeights = {
  readonly stall: number;
  readonly queue: number;
  readonly batchLoss: number;
  readonly distance: number;
  readonly nonPreferred: number;
  readonly displaced: number;
};

/** Expected duration of a load. */
const LOAD_TIME_MS: Milliseconds = 250;

/** Wait for each adapter version ahead in the load queue. */
const QUEUED_LOAD_MS: Milliseconds = 500;

/** Expected time until a slot in use becomes free. */
const SLOT_WAIT_MS: Milliseconds = 1500;

/** Maximum number of missing slots that add to the cost. */
const MAX_MISSING_SLOTS = 2;

/** Wait for each full batch of requests ahead in the queue. */
const BATCH_WAIT_MS: Milliseconds = 2000;

/** Penalty for an empty batch; a partly filled one costs its unused share. */
const UNDERFILLED_BATCH_MS: Milliseconds = 1500;

/** Maximum penalty for an eviction; grows with recent use of the evicted adapter version. */
const DISPLACEMENT_MS: Milliseconds = 500;

/** Penalty for a server other than the preferred one. */
const NON_PREFERRED_MS: Milliseconds = 50;

function loadStallCost(inputs: RouteInputs): Milliseconds {
  if (inputs.isResident) return 0;
  const loadsMs = LOAD_TIME_MS + inputs.wanted * QUEUED_LOAD_MS;
  // A load that was requested earlier is half done on average.
  if (inputs.isWanted) return loadsMs / 2;
  const missing = Math.max(0, inputs.wanted + 1 - inputs.freeSlots);
  return loadsMs + Math.min(MAX_MISSING_SLOTS, missing) * SLOT_WAIT_MS;
}

function queueCost({ load, batchWidth }: RouteInputs): Milliseconds {
  return (Math.max(0, load + 1 - batchWidth) / batchWidth) * BATCH_WAIT_MS;
}

function batchLossCost({ load, batchWidth }: RouteInputs): Milliseconds {
  return Math.max(0, 1 - (load + 1) / batchWidth) * UNDERFILLED_BATCH_MS;
}

function displacementCost({ isResident, isWanted, displacedUses }: RouteInputs): Milliseconds {
  return isResident || isWanted ? 0 : (displacedUses / (1 + displacedUses)) * DISPLACEMENT_MS;
}

/**
 * Returns the expected cost of sending a request to a server, in milliseconds.
 *
 * @param inputs The state of the server.
 * @param weights The factors of the pool's policy.
 */
export function routeCost(inputs: RouteInputs, weights: RouteWeights): Milliseconds {
  return (
    weights.stall * loadStallCost(inputs) +
    weights.queue * queueCost(inputs) +
    weights.batchLoss * batchLossCost(inputs) +
    weights.displaced * displacementCost(inputs) +
    weights.distance * inputs.distanceMs +
    weights.nonPreferred * (inputs.isPreferred ? 0 : NON_PREFERRED_MS)
  );
}
