import type { Milliseconds } from '../clock/mod.ts';

const MILLISECONDS_IN_SECOND = 1000;

const DEFAULT_TIME_CONSTANT_MS: Milliseconds = 1000;

/** Measures requests, or what they cost, per second as an exponentially decaying average. */
export class DemandMeter {
  #perSecond = 0;

  #updatedAt: Milliseconds;

  readonly #timeConstantMs: Milliseconds;

  /** @param timeConstantMs Time constant of the decay. @default 1000 */
  constructor(now: Milliseconds, timeConstantMs = DEFAULT_TIME_CONSTANT_MS) {
    this.#updatedAt = now;
    this.#timeConstantMs = timeConstantMs;
  }

  /**
   * Counts one request.
   *
   * @param amount What it counts as. @default 1
   */
  recordRequest(now: Milliseconds, amount = 1): void {
    this.#decay(now);
    this.#perSecond += (amount * MILLISECONDS_IN_SECOND) / this.#timeConstantMs;
  }

  /** Returns the requests, or what they cost, per second. */
  perSecond(now: Milliseconds): number {
    this.#decay(now);
    return this.#perSecond;
  }

  #decay(now: Milliseconds): void {
    const elapsedMs = Math.max(0, now - this.#updatedAt);
    this.#perSecond *= Math.exp(-elapsedMs / this.#timeConstantMs);
    this.#updatedAt = Math.max(this.#updatedAt, now);
  }
}
