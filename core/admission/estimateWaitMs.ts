import type { Milliseconds } from '../clock/mod.ts';

/** The load of a server when a request arrives. */
export type ServerLoad = {
  /** Requests that the server runs. */
  readonly running: number;
  /** Requests in the server's queues. */
  readonly waiting: number;
  /** Requests that the server can run concurrently. */
  readonly batchWidth: number;
  /** Mean run time of a request. */
  readonly meanServiceMs: Milliseconds;
  /** Whether the adapter version is loaded, loading or queued for a load. */
  readonly isLoadedOrPending: boolean;
  /** Adapter versions queued for a load. */
  readonly loadsAhead: number;
  /** Adapter loads that the server may start per second. */
  readonly loadsPerSecond: number;
};

/** Estimates how long a request that arrives now waits before it starts. */
export function estimateWaitMs(load: ServerLoad): Milliseconds {
  const {
    running,
    waiting,
    batchWidth,
    meanServiceMs: serviceMs,
    loadsAhead,
    loadsPerSecond,
  } = load;
  const excess = Math.max(0, running + waiting + 1 - batchWidth);
  const queueMs = (excess / batchWidth) * serviceMs;
  const loadMs = load.isLoadedOrPending ? 0 : (loadsAhead * 1000) / loadsPerSecond;
  return Math.max(queueMs, loadMs);
}
