import type { Milliseconds } from '../clock/mod.ts';

const MILLISECONDS_IN_SECOND = 1000;

/** Capacity of the bucket where none is given, as the time in which it fills. */
const BURST_MS: Milliseconds = 1000;

function defaultCapacity(perSecond: number): number {
  return Math.max(1, (perSecond * BURST_MS) / MILLISECONDS_IN_SECOND);
}

/** A token bucket whose rate may change from call to call. */
export class TokenBucket {
  #tokens = 0;

  #refilledAt: Milliseconds;

  /** @param initialTokens Tokens at the start. @default as many as accrue in a second */
  constructor(now: Milliseconds, perSecond: number, initialTokens?: number) {
    this.#refilledAt = now;
    this.#tokens = initialTokens ?? (perSecond * BURST_MS) / MILLISECONDS_IN_SECOND;
  }

  /** Tokens at the last refill, less those taken since; below 0 after an overdraft. */
  get tokens(): number {
    return this.#tokens;
  }

  /**
   * Takes a token.
   *
   * @returns 0 when a token was taken, otherwise the time until one is available.
   */
  take(now: Milliseconds, perSecond: number): Milliseconds {
    this.refill(now, perSecond);
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return 0;
    }
    return ((1 - this.#tokens) / perSecond) * MILLISECONDS_IN_SECOND;
  }

  /** Adds the tokens that have accrued since the last call, up to the capacity. */
  refill(now: Milliseconds, perSecond: number, capacity = defaultCapacity(perSecond)): void {
    const elapsedMs = Math.max(0, now - this.#refilledAt);
    const gained = (elapsedMs * perSecond) / MILLISECONDS_IN_SECOND;
    this.#tokens = Math.min(capacity, this.#tokens + gained);
    this.#refilledAt = Math.max(this.#refilledAt, now);
  }

  /** Removes tokens, also more than there are. */
  remove(tokens: number): void {
    this.#tokens -= tokens;
  }

  /** Puts tokens back; the next refill drops what exceeds the capacity. */
  putBack(tokens: number): void {
    this.#tokens += tokens;
  }
}
