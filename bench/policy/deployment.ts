import type { Milliseconds } from '../../core/clock/mod.ts';
import type { PoolPolicy } from '../../core/set/mod.ts';

/** One deployment as the benchmark models it. */
export type Deployment = {
  readonly name: string;
  readonly policy: PoolPolicy;
  readonly engines: number;
  readonly availabilityZones: number;
  readonly betweenZonesMs: Milliseconds;
  readonly loadsPerSecond: number;
  readonly loadsAtOnce: number;
  readonly fullSpeedInFlight: number;
  readonly slots: number;
  readonly batchWidth: number;
  readonly adapters: number;
  /** Exponent of the adapters' popularity by rank. */
  readonly skew: number;
  /** Requests a second that count as 100 in 100. */
  readonly capacityPerSecond: number;
};

/** The deployments, each with the policy that it puts first. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'ixchel',
    policy: 'batch-efficiency',
    engines: 8,
    availabilityZones: 4,
    betweenZonesMs: 0.5,
    loadsPerSecond: 4,
    loadsAtOnce: 2,
    fullSpeedInFlight: 16,
    slots: 4,
    batchWidth: 16,
    adapters: 3000,
    skew: 1.6,
    capacityPerSecond: 26,
  },
  {
    name: 'anadolu',
    policy: 'load-stalls',
    engines: 6,
    availabilityZones: 3,
    betweenZonesMs: 1.5,
    loadsPerSecond: 3,
    loadsAtOnce: 1,
    fullSpeedInFlight: 8,
    slots: 4,
    batchWidth: 16,
    adapters: 3000,
    skew: 1.6,
    capacityPerSecond: 16,
  },
];
