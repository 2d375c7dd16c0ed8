import { PRODUCT } from './contenders.ts';
import type { Deployment } from './deployment.ts';
import { simulatePolicy } from './simulatePolicy.ts';
import { REQUEST_TIMEOUT_MS } from './simulatedEntry.ts';

/** The results at one offered rate, the worst over all seeds. */
export type SweepRow = {
  readonly deployment: string;
  readonly ratePerSecond: number;
  readonly completedShare: number;
  readonly stallP99Ms: number;
  /** Whether the deployment sustains the rate. */
  readonly isBorne: boolean;
};

const RATE_STEP_PER_SECOND = 2;

const MAX_RATE_PER_SECOND = 40;

const SEEDS = [1, 2, 3] as const;

/** Share of requests that must complete at a sustained rate. */
const MIN_COMPLETED_SHARE = 0.99;

/** Highest p99 load stall at a sustained rate. */
const MAX_STALL_P99_MS = REQUEST_TIMEOUT_MS / 2;

async function measureRate(deployment: Deployment, ratePerSecond: number): Promise<SweepRow> {
  let completedShare = 1;
  let stallP99Ms = 0;
  for (const seed of SEEDS) {
    const offered = { ...deployment, capacityPerSecond: ratePerSecond };
    const measures = await simulatePolicy({
      deployment: offered,
      policyCase: { offeredLoad: 1 },
      contender: PRODUCT,
      seed,
    });
    const { completed, notRun, failed, unknown } = measures;
    completedShare = Math.min(completedShare, completed / (completed + notRun + failed + unknown));
    stallP99Ms = Math.max(stallP99Ms, measures.stallP99Ms);
  }
  const isBorne = completedShare >= MIN_COMPLETED_SHARE && stallP99Ms <= MAX_STALL_P99_MS;
  return { deployment: deployment.name, ratePerSecond, completedShare, stallP99Ms, isBorne };
}

/**
 * Raises the offered rate until a deployment no longer sustains it.
 *
 * @param deployment The deployment, with its own policy.
 * @returns One row for each rate; the last sustained rate is the capacity.
 */
export async function sweepCapacity(deployment: Deployment): Promise<readonly SweepRow[]> {
  const rows: SweepRow[] = [];
  for (let rate = RATE_STEP_PER_SECOND; rate <= MAX_RATE_PER_SECOND; rate += RATE_STEP_PER_SECOND) {
    const row = await measureRate(deployment, rate);
    rows.push(row);
    if (!row.isBorne) break;
  }
  return rows;
}
