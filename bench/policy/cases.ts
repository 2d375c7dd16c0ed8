import type { Milliseconds } from '../../core/clock/mod.ts';

/** The load and the faults of one benchmark case. */
export type PolicyCase = {
  /** Offered load as a share of the capacity. @default 0.75 */
  readonly offeredLoad?: number;
  /** Whether the popular adapters change during the run. */
  readonly shiftsPopularity?: boolean;
  /** Number of requests in a burst for one idle adapter. */
  readonly burstRequests?: number;
  /** Whether the first engine restarts with no adapter loaded. */
  readonly restartsEngine?: boolean;
  /** Every nth load from the weight store fails. */
  readonly failEveryNthLoad?: number;
  /** Factor by which loads from the weight store slow down. */
  readonly loadSlowdown?: number;
  /** Step time factors of the engines; engine `i` uses element `i` modulo the length. */
  readonly stepTimeFactors?: readonly number[];
  /** Delay of server reports. */
  readonly reportDelayMs?: Milliseconds;
  /** Duration of a network partition between availability zones. */
  readonly partitionMs?: Milliseconds;
};

/** The offered load of cases that set none, as a share of the capacity. */
export const DEFAULT_OFFERED_LOAD = 0.75;

/** The benchmark cases by name. */
export const CASES: Readonly<Record<string, PolicyCase>> = {
  steady: {},
  shifted: { shiftsPopularity: true },
  burst: { burstRequests: 80 },
  restart: { restartsEngine: true },
  'failing-store': { failEveryNthLoad: 3 },
  'half-rate-store': { loadSlowdown: 2 },
  'mixed-speeds': { stepTimeFactors: [1, 2, 4, 1] },
  'late-reports': { reportDelayMs: 2000 },
  partition: { partitionMs: 15_000 },
  'load-60': { offeredLoad: 0.6 },
  'load-90': { offeredLoad: 0.9 },
  'load-130': { offeredLoad: 1.3 },
  'load-250': { offeredLoad: 2.5 },
};
