import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Milliseconds } from '../../core/clock/mod.ts';
import type { AdapterVersion } from '../../core/identity/mod.ts';
import type { Deployment } from './deployment.ts';

/** One request of a trace. */
export type Arrival = {
  readonly name: string;
  readonly at: Milliseconds;
  readonly adapterVersion: AdapterVersion;
  readonly tokens: number;
  /** Number of the entry that the request comes to. */
  readonly entry: number;
};

/** What shapes a trace. */
export type TraceOptions = {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly ratePerSecond: number;
  /** Whether popularity is turned over at `EVENT_AT_MS`. */
  readonly shifts: boolean;
  /** Requests for one idle adapter that start at `EVENT_AT_MS`. */
  readonly burst: number;
};

/** Time before requests are measured. */
export const WARM_UP_MS: Milliseconds = 20_000;

/** When a case's fault or change starts. */
export const EVENT_AT_MS: Milliseconds = 30_000;

/** When the last request arrives. */
export const END_AT_MS: Milliseconds = 80_000;

/** Entries over which the platform's balancer spreads requests. */
export const ENTRIES = 2;

const MIN_TOKENS = 32;

const MAX_TOKENS = 96;

const BURST_GAP_MS: Milliseconds = 25;

const DRAWS = 0x7fff_ffff;

/** Draws numbers from 0 up to 1. */
export type Draw = () => number;

/** Creates a source of random numbers that depends only on its seed. */
export function createDraw(seed: number): Draw {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, DRAWS - 1) / DRAWS;
}

function cumulativeShares(count: number, skew: number): readonly number[] {
  const shares: number[] = [];
  let sum = 0;
  for (let rank = 1; rank <= count; rank += 1) {
    sum += rank ** -skew;
    shares.push(sum);
  }
  return shares.map((share) => share / sum);
}

function rankOf(shares: readonly number[], drawn: number): number {
  let low = 0;
  let high = shares.length - 1;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (shares[middle]! < drawn) low = middle + 1;
    else high = middle;
  }
  return low;
}

function burstOf(options: TraceOptions): readonly Arrival[] {
  const { adapters } = options.deployment;
  return Array.from({ length: options.burst }, (_, index) => ({
    name: `burst-${index}`,
    at: EVENT_AT_MS + index * BURST_GAP_MS,
    adapterVersion: `t/a${adapters - 1}@1`,
    tokens: MIN_TOKENS,
    entry: index % ENTRIES,
  }));
}

/**
 * Creates the requests of one run: exponential gaps, adapters by a power law of their rank.
 *
 * @param options The load and how it changes.
 * @returns The requests, earliest first.
 */
export function createTrace(options: TraceOptions): readonly Arrival[] {
  const { adapters, skew } = options.deployment;
  const draw = createDraw(options.seed);
  const shares = cumulativeShares(adapters, skew);
  const arrivals: Arrival[] = [];
  let at = 0;
  for (;;) {
    at += (-Math.log(1 - draw()) * 1000) / options.ratePerSecond;
    if (at >= END_AT_MS) break;
    const shift = options.shifts && at >= EVENT_AT_MS ? Math.floor(adapters / 2) : 0;
    const adapter = (rankOf(shares, draw()) + shift) % adapters;
    arrivals.push({
      name: `r${arrivals.length}`,
      at,
      adapterVersion: `t/a${adapter}@1`,
      tokens: MIN_TOKENS + Math.floor(draw() * (MAX_TOKENS - MIN_TOKENS + 1)),
      entry: Math.floor(draw() * ENTRIES),
    });
  }
  return [...arrivals, ...burstOf(options)].sort((a, b) => a.at - b.at);
}
