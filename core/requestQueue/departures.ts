import type { Milliseconds } from '../clock/mod.ts';

/** Run time assumed before the first request has ended. */
const INITIAL_SERVICE_MS: Milliseconds = 300;

/** Work assumed for a request before the first one has ended. */
const INITIAL_WORK = 100;

/** Weight of the newest departure in the means. */
const DEPARTURE_WEIGHT = 0.05;

/**
 * Mean intervals without a departure from which on the rate is lowered: a Poisson process has a longer gap in
 * one case out of twenty.
 */
const MAX_GAP_INTERVALS = 3;

/** Measures how fast the servers of one service complete this entry's requests. */
export class Departures {
  #serviceMs: Milliseconds = INITIAL_SERVICE_MS;

  #work = INITIAL_WORK;

  #count = 0;

  #lastAt: Milliseconds | undefined;

  /** Mean time from sending a request to the end of its response. */
  get serviceMs(): Milliseconds {
    return this.#serviceMs;
  }

  /** Mean work of a request. */
  get work(): number {
    return this.#work;
  }

  /** Records that a server completed a request. */
  note(tookMs: Milliseconds, work: number, now: Milliseconds): void {
    this.#count += 1;
    const weight = Math.max(DEPARTURE_WEIGHT, 1 / this.#count);
    this.#serviceMs += (Math.max(1, tookMs) - this.#serviceMs) * weight;
    this.#work += (work - this.#work) * weight;
    this.#lastAt = now;
  }

  /**
   * Returns the requests per millisecond that end while some are in flight: their number over the mean run
   * time, which holds at once when the load changes, and less if none has ended for long.
   */
  ratePerMs(inFlight: number, now: Milliseconds): number {
    const expected = Math.max(1, inFlight) / this.#serviceMs;
    const idleMs = this.#lastAt === undefined ? 0 : now - this.#lastAt;
    return idleMs * expected > MAX_GAP_INTERVALS ? MAX_GAP_INTERVALS / idleMs : expected;
  }
}
