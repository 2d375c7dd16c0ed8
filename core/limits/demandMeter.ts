import type { Milliseconds } from '../clock/mod.ts';

const MILLISECONDS_IN_SECOND = 1000;

/** Time over which demand is averaged. */
const AVERAGED_MS: Milliseconds = 1000;

/** Averages how many requests a second are asked for, the latest ones most. */
export class DemandMeter {
  #perSecond = 0;

  #notedAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#notedAt = now;
  }

  /** Notes one request. */
  note(now: Milliseconds): void {
    this.#decay(now);
    this.#perSecond += MILLISECONDS_IN_SECOND / AVERAGED_MS;
  }

  /** Returns the requests a second. */
  perSecond(now: Milliseconds): number {
    this.#decay(now);
    return this.#perSecond;
  }

  #decay(now: Milliseconds): void {
    const elapsedMs = Math.max(0, now - this.#notedAt);
    this.#perSecond *= Math.exp(-elapsedMs / AVERAGED_MS);
    this.#notedAt = Math.max(this.#notedAt, now);
  }
}
