import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Milliseconds } from '../../core/clock/mod.ts';
import type { AdapterVersion } from '../../core/identity/mod.ts';
import type { Deployment } from './deployment.ts';

/** One request of a trace, with its arrival time. */
export type Arrival = {
  readonly name: string;
  readonly at: Milliseconds;
  readonly adapterVersion: AdapterVersion;
  readonly tokens: number;
  /** Index of the entry that receives the request. */
  readonly entry: number;
};

/** Options of `createTrace`. */
export type TraceOptions = {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly ratePerSecond: number;
  /** Whether the popularity ranks rotate by half the adapters at `EVENT_AT_MS`. */
  readonly shiftsPopularity: boolean;
  /** Number of requests for one idle adapter, sent in a burst from `EVENT_AT_MS`. */
  readonly burstRequests: number;
};

/** Requests that arrive before this time are not measured. */
export const WARM_UP_MS: Milliseconds = 20_000;

/** Start of the fault or load change of a case. */
export const EVENT_AT_MS: Milliseconds = 30_000;

/** End of the arrivals. */
export const END_AT_MS: Milliseconds = 80_000;

/** Number of entries over which an external load balancer spreads requests. */
export const ENTRIES = 2;

const MIN_TOKENS = 32;

const MAX_TOKENS = 96;

const BURST_GAP_MS: Milliseconds = 25;

const RANDOM_STEPS = 0x7fff_ffff;

/** Returns a random number in [0, 1). */
export type RandomSource = () => number;

/** Creates a deterministic source of random numbers from a seed. */
export function createRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, RANDOM_STEPS - 1) / RANDOM_STEPS;
}

function cumulativeShares(count: number, exponent: number): readonly number[] {
  const shares: number[] = [];
  let sum = 0;
  for (let rank = 1; rank <= count; rank += 1) {
    sum += rank ** -exponent;
    shares.push(sum);
  }
  return shares.map((share) => share / sum);
}

function findRank(shares: readonly number[], quantile: number): number {
  let low = 0;
  let high = shares.length - 1;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (shares[middle]! < quantile) low = middle + 1;
    else high = middle;
  }
  return low;
}

function createBurst(options: TraceOptions): readonly Arrival[] {
  const { adapters } = options.deployment;
  return Array.from({ length: options.burstRequests }, (_, index) => ({
    name: `burst-${index}`,
    at: EVENT_AT_MS + index * BURST_GAP_MS,
    adapterVersion: `t/a${adapters - 1}@1`,
    tokens: MIN_TOKENS,
    entry: index % ENTRIES,
  }));
}

/**
 * Creates the requests of one run: Poisson arrivals, adapters drawn by a power law of their rank.
 *
 * @returns The requests, earliest first.
 */
export function createTrace(options: TraceOptions): readonly Arrival[] {
  const { adapters, popularityExponent } = options.deployment;
  const nextRandom = createRandomSource(options.seed);
  const shares = cumulativeShares(adapters, popularityExponent);
  const arrivals: Arrival[] = [];
  let at = 0;
  for (;;) {
    at += (-Math.log(1 - nextRandom()) * 1000) / options.ratePerSecond;
    if (at >= END_AT_MS) break;
    const shift = options.shiftsPopularity && at >= EVENT_AT_MS ? Math.floor(adapters / 2) : 0;
    const adapter = (findRank(shares, nextRandom()) + shift) % adapters;
    arrivals.push({
      name: `r${arrivals.length}`,
      at,
      adapterVersion: `t/a${adapter}@1`,
      tokens: MIN_TOKENS + Math.floor(nextRandom() * (MAX_TOKENS - MIN_TOKENS + 1)),
      entry: Math.floor(nextRandom() * ENTRIES),
    });
  }
  return [...arrivals, ...createBurst(options)].sort((a, b) => a.at - b.at);
}
