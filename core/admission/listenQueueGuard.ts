import type { Milliseconds } from '../clock/mod.ts';

/** Options of `ListenQueueGuard`. */
export type ListenQueueGuardOptions = {
  /** Time without a handled request of a new connection from which on the queue may be abandoned. @default 500 */
  readonly minSilenceMs?: Milliseconds;
  /** Callers in a row that must have left before their requests were handled. @default 8 */
  readonly minGone?: number;
  /** Time for which an abandoned queue counts as recent. @default 3000 */
  readonly recentMs?: Milliseconds;
};

/**
 * Detects that the callers in the listen queue of a server have left.
 *
 * The queue is served in order. Where connections arrive faster than they are accepted, it grows until
 * each caller has left when its turn comes, and those that still wait leave as well while these are served.
 */
export class ListenQueueGuard {
  readonly #minSilenceMs: Milliseconds;

  readonly #minGone: number;

  readonly #recentMs: Milliseconds;

  /** When a request of a new connection was last handled, or connections began to wait; `undefined` while none waits. */
  #silentSince: Milliseconds | undefined;

  #goneCount = 0;

  #abandonedAt: Milliseconds = -Infinity;

  constructor({ minSilenceMs = 500, minGone = 8, recentMs = 3000 }: ListenQueueGuardOptions = {}) {
    this.#minSilenceMs = minSilenceMs;
    this.#minGone = minGone;
    this.#recentMs = recentMs;
  }

  /** Returns for how long connections have waited while none had a request handled; 0 if none waits. */
  silenceMs(now: Milliseconds): Milliseconds {
    return this.#silentSince === undefined ? 0 : now - this.#silentSince;
  }

  /** Whether the queue was abandoned a moment ago, so that connections are better sent elsewhere. */
  wasAbandoned(now: Milliseconds): boolean {
    return now - this.#abandonedAt < this.#recentMs;
  }

  /** Records that the caller of a new connection left before its request was handled. */
  noteGone(): void {
    this.#goneCount += 1;
  }

  /** Records that the request of a new connection was handled, since its caller had not left. */
  noteHandled(now: Milliseconds): void {
    if (this.#silentSince !== undefined) this.#silentSince = now;
    this.#goneCount = 0;
  }

  /**
   * Ends a turn of the event loop; returns whether the queue is abandoned, and begins to observe anew if so.
   *
   * @param hasAccepted Whether a connection was accepted in the turn, so that more may wait.
   */
  endTurn(hasAccepted: boolean, now: Milliseconds): boolean {
    const isAbandoned =
      hasAccepted && this.silenceMs(now) >= this.#minSilenceMs && this.#goneCount >= this.#minGone;
    if (!hasAccepted || isAbandoned) {
      this.#silentSince = undefined;
      this.#goneCount = 0;
    }
    if (hasAccepted) this.#silentSince ??= now;
    if (isAbandoned) this.#abandonedAt = now;
    return isAbandoned;
  }
}
