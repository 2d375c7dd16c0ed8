import type { Milliseconds } from '../../core/clock/mod.ts';
import type { PoolPolicy } from '../../core/set/mod.ts';

/** A deployment as the benchmark models it. */
export type Deployment = {
  readonly name: string;
  readonly policy: PoolPolicy;
  readonly engines: number;
  readonly availabilityZones: number;
  /** One-way network delay between availability zones. */
  readonly crossZoneDelayMs: Milliseconds;
  /** Rate limit of the shared weight store. */
  readonly loadsPerSecond: number;
  readonly loadsAtOnce: number;
  /** Requests in flight up to which an engine runs at full speed. */
  readonly fullSpeedInFlight: number;
  /** Adapters that one engine holds at once. */
  readonly slots: number;
  /** Sequences that one engine step computes at most. */
  readonly batchWidth: number;
  readonly adapters: number;
  /** Exponent of the power law of adapter popularity by rank. */
  readonly popularityExponent: number;
  /** Requests per second at an offered load of 1. */
  readonly capacityPerSecond: number;
};

/** The modelled deployments, each with its preferred policy. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'ixchel',
    policy: 'batch-efficiency',
    engines: 8,
    availabilityZones: 4,
    crossZoneDelayMs: 0.5,
    loadsPerSecond: 4,
    loadsAtOnce: 2,
    fullSpeedInFlight: 16,
    slots: 4,
    batchWidth: 16,
    adapters: 3000,
    popularityExponent: 1.6,
    capacityPerSecond: 26,
  },
  {
    name: 'anadolu',
    policy: 'load-stalls',
    engines: 6,
    availabilityZones: 3,
    crossZoneDelayMs: 1.5,
    loadsPerSecond: 3,
    loadsAtOnce: 1,
    fullSpeedInFlight: 8,
    slots: 4,
    batchWidth: 16,
    adapters: 3000,
    popularityExponent: 1.6,
    capacityPerSecond: 16,
  },
];
