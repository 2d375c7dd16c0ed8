import type { Milliseconds } from '../../core/clock/mod.ts';

/** What happens in one case beside the offered load. */
export type PolicyCase = {
  /** Offered load over capacity. @default 0.75 */
  readonly offered?: number;
  readonly shifts?: boolean;
  /** Requests for one idle adapter. */
  readonly burst?: number;
  /** Whether the first engine restarts cold. */
  readonly restarts?: boolean;
  /** Every load whose number is a multiple of this fails. */
  readonly storeFailsEvery?: number;
  readonly storeSlowdown?: number;
  /** Time of a step over the usual one, by the engine's number modulo the length. */
  readonly stepFactors?: readonly number[];
  readonly reportDelayMs?: Milliseconds;
  /** How long the zones are parted. */
  readonly partitionMs?: Milliseconds;
};

/** The offered load of cases that do not name one. */
export const USUAL_OFFERED = 0.75;

/** The cases by name. */
export const CASES: Readonly<Record<string, PolicyCase>> = {
  steady: {},
  shifted: { shifts: true },
  burst: { burst: 80 },
  restart: { restarts: true },
  'failing-store': { storeFailsEvery: 3 },
  'half-rate-store': { storeSlowdown: 2 },
  'mixed-speeds': { stepFactors: [1, 2, 4, 1] },
  'late-reports': { reportDelayMs: 2000 },
  partition: { partitionMs: 15_000 },
  'load-60': { offered: 0.6 },
  'load-90': { offered: 0.9 },
  'load-130': { offered: 1.3 },
  'load-250': { offered: 2.5 },
};
