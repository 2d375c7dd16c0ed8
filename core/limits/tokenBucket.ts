import type { Milliseconds } from '../clock/mod.ts';

const MILLISECONDS_IN_SECOND = 1000;

/** Time for which unused permits are kept. */
const BURST_MS: Milliseconds = 1000;

/** Permits that come at a rate which may change; it starts with those of one burst. */
export class TokenBucket {
  #tokens = 0;

  #filledAt: Milliseconds;

  constructor(now: Milliseconds, perSecond: number) {
    this.#filledAt = now;
    this.#tokens = (perSecond * BURST_MS) / MILLISECONDS_IN_SECOND;
  }

  /**
   * Takes a permit.
   *
   * @returns 0 when it was taken, else the time until there is one.
   */
  take(now: Milliseconds, perSecond: number): Milliseconds {
    this.#fill(now, perSecond);
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return 0;
    }
    return ((1 - this.#tokens) / perSecond) * MILLISECONDS_IN_SECOND;
  }

  #fill(now: Milliseconds, perSecond: number): void {
    const elapsedMs = Math.max(0, now - this.#filledAt);
    const capacity = Math.max(1, (perSecond * BURST_MS) / MILLISECONDS_IN_SECOND);
    const gained = (elapsedMs * perSecond) / MILLISECONDS_IN_SECOND;
    this.#tokens = Math.min(capacity, this.#tokens + gained);
    this.#filledAt = Math.max(this.#filledAt, now);
  }
}
