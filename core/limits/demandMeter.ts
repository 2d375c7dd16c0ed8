import type { Milliseconds } from '../clock/mod.ts';

const MILLISECONDS_IN_SECOND = 1000;

/** Time constant of the decay. */
const TIME_CONSTANT_MS: Milliseconds = 1000;

/** Measures requests per second as an exponentially decaying average. */
export class DemandMeter {
  #perSecond = 0;

  #updatedAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#updatedAt = now;
  }

  /** Counts one request. */
  recordRequest(now: Milliseconds): void {
    this.#decay(now);
    this.#perSecond += MILLISECONDS_IN_SECOND / TIME_CONSTANT_MS;
  }

  /** Returns the requests per second. */
  perSecond(now: Milliseconds): number {
    this.#decay(now);
    return this.#perSecond;
  }

  #decay(now: Milliseconds): void {
    const elapsedMs = Math.max(0, now - this.#updatedAt);
    this.#perSecond *= Math.exp(-elapsedMs / TIME_CONSTANT_MS);
    this.#updatedAt = Math.max(this.#updatedAt, now);
  }
}
