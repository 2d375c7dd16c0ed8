import { PRODUCT } from './contenders.ts';
import type { Deployment } from './deployment.ts';
import { simulatePolicy } from './simulatePolicy.ts';
import { TIMEOUT_MS } from './simulatedEntry.ts';

/** What one offered rate gives, the worst of all seeds. */
export type CapacityRow = {
  readonly deployment: string;
  readonly ratePerSecond: number;
  readonly completedShare: number;
  readonly stallP99Ms: number;
  /** Whether the deployment bears the rate. */
  readonly isBorne: boolean;
};

const RATE_STEP = 2;

const HIGHEST_RATE = 40;

const SEEDS = [1, 2, 3] as const;

/** Share of requests that must complete. */
const COMPLETED_SHARE = 0.99;

/** Load stall that one request in a hundred may exceed. */
const STALL_MS = TIMEOUT_MS / 2;

async function measureRate(deployment: Deployment, ratePerSecond: number): Promise<CapacityRow> {
  let completedShare = 1;
  let stallP99Ms = 0;
  for (const seed of SEEDS) {
    const loaded = { ...deployment, capacityPerSecond: ratePerSecond };
    const measures = await simulatePolicy({
      deployment: loaded,
      policyCase: { offered: 1 },
      contender: PRODUCT,
      seed,
    });
    const { completed, notRun, failed, unknown } = measures;
    completedShare = Math.min(completedShare, completed / (completed + notRun + failed + unknown));
    stallP99Ms = Math.max(stallP99Ms, measures.stallP99Ms);
  }
  const isBorne = completedShare >= COMPLETED_SHARE && stallP99Ms <= STALL_MS;
  return { deployment: deployment.name, ratePerSecond, completedShare, stallP99Ms, isBorne };
}

/**
 * Raises the offered rate until a deployment no longer bears it.
 *
 * @param deployment The deployment, with its own policy.
 * @returns One row for each rate; the last rate that is borne is the capacity.
 */
export async function sweepCapacity(deployment: Deployment): Promise<readonly CapacityRow[]> {
  const rows: CapacityRow[] = [];
  for (let rate = RATE_STEP; rate <= HIGHEST_RATE; rate += RATE_STEP) {
    const row = await measureRate(deployment, rate);
    rows.push(row);
    if (!row.isBorne) break;
  }
  return rows;
}
