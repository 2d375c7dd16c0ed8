import type { Milliseconds } from '../clock/mod.ts';

const MILLISECONDS_IN_SECOND = 1000;

/** Capacity of the bucket, as the time in which it fills. */
const BURST_MS: Milliseconds = 1000;

/** A token bucket whose rate may change from call to call. It starts full. */
export class TokenBucket {
  #tokens = 0;

  #refilledAt: Milliseconds;

  constructor(now: Milliseconds, perSecond: number) {
    this.#refilledAt = now;
    this.#tokens = (perSecond * BURST_MS) / MILLISECONDS_IN_SECOND;
  }

  /**
   * Takes a token.
   *
   * @returns 0 when a token was taken, otherwise the time until one is available.
   */
  take(now: Milliseconds, perSecond: number): Milliseconds {
    this.#refill(now, perSecond);
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return 0;
    }
    return ((1 - this.#tokens) / perSecond) * MILLISECONDS_IN_SECOND;
  }

  #refill(now: Milliseconds, perSecond: number): void {
    const elapsedMs = Math.max(0, now - this.#refilledAt);
    const capacity = Math.max(1, (perSecond * BURST_MS) / MILLISECONDS_IN_SECOND);
    const gained = (elapsedMs * perSecond) / MILLISECONDS_IN_SECOND;
    this.#tokens = Math.min(capacity, this.#tokens + gained);
    this.#refilledAt = Math.max(this.#refilledAt, now);
  }
}
