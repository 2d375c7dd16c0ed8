import { rendezvousOrder } from '../placement/mod.ts';
import type { StreamKey } from './streamOrigin.ts';

/** Processes that keep the origin of a stream, besides the one that began it. */
const HOLDERS = 4;

/** Key of the choice of the processes that hold origins at all, if there are many. */
const POOL_KEY = 'stream-origins';

/** Processes that hold origins at all; each process links to all of them. */
const MAX_POOL = 32;

/**
 * Returns the processes that keep the origin of a stream, the same at each process that knows the same
 * others.
 *
 * @param processes Names of the live processes.
 */
export function chooseHolders(key: StreamKey, processes: readonly string[]): readonly string[] {
  const pool =
    processes.length <= MAX_POOL
      ? processes
      : rendezvousOrder(POOL_KEY, processes).slice(0, MAX_POOL);
  if (pool.length <= HOLDERS) return pool;
  return rendezvousOrder(`${key.service} ${key.requestId}`, pool).slice(0, HOLDERS);
}
