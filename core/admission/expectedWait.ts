import type { Milliseconds } from '../clock/mod.ts';

/** What is known of a server when a request comes. */
export type WaitFacts = {
  readonly running: number;
  readonly waiting: number;
  readonly batchWidth: number;
  /** Mean time that a request runs. */
  readonly serviceMs: Milliseconds;
  /** Whether the adapter version is resident, loads, or waits for a load already. */
  readonly isHeldOrWanted: boolean;
  /** Adapter versions that wait for a load. */
  readonly loadsAhead: number;
  readonly loadsPerSecond: number;
};

/** Returns how long a request that comes now is expected to wait before it starts. */
export function expectedWait(facts: WaitFacts): Milliseconds {
  const { running, waiting, batchWidth, serviceMs, loadsAhead, loadsPerSecond } = facts;
  const excess = Math.max(0, running + waiting + 1 - batchWidth);
  const queueMs = (excess / batchWidth) * serviceMs;
  const loadMs = facts.isHeldOrWanted ? 0 : (loadsAhead * 1000) / loadsPerSecond;
  return Math.max(queueMs, loadMs);
}
