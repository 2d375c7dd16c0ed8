import type { Milliseconds } from '../clock/mod.ts';

/** Options of `IntakeQueue`. */
export type IntakeQueueOptions = {
  /** Longest time that a request waits because connections are accepted. @default 200 */
  readonly maxPostponementMs?: Milliseconds;
  /** Wait from which on a request is overdue. @default 300 */
  readonly maxWaitMs?: Milliseconds;
};

/** When a request was read. */
type Arrival = { readonly turn: number; readonly readAt: Milliseconds };

/**
 * Requests that have been read and are not handled yet, the oldest first.
 *
 * A caller's close may lie unread behind its request, and is read in the next turn of the event loop at
 * the earliest. So a request may be taken only in a turn after the one that read it; until then it can
 * be removed.
 *
 * While connections are accepted, requests wait: the event loop accepts one connection per turn, and
 * handling requests makes turns long. What waits in the listen queue of the kernel is not known to
 * the process, neither the requests nor that their callers have left. They wait for a bounded time, since
 * their timeouts are not observed before they are handled.
 */
export class IntakeQueue<Request> {
  readonly #arrivals = new Map<Request, Arrival>();

  readonly #maxPostponementMs: Milliseconds;

  readonly #maxWaitMs: Milliseconds;

  #turn = 0;

  #isAccepting = false;

  constructor({ maxPostponementMs = 200, maxWaitMs = 300 }: IntakeQueueOptions = {}) {
    this.#maxPostponementMs = maxPostponementMs;
    this.#maxWaitMs = maxWaitMs;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#arrivals.size;
  }

  /** Returns how long the oldest request has waited; 0 if none waits. */
  oldestWaitMs(now: Milliseconds): Milliseconds {
    const [oldest] = this.#arrivals.values();
    return oldest === undefined ? 0 : now - oldest.readAt;
  }

  /** Adds a request that was read in the current turn. */
  add(request: Request, now: Milliseconds): void {
    this.#arrivals.set(request, { turn: this.#turn, readAt: now });
  }

  /** Removes a request, for instance when its caller has left. Returns whether it was waiting. */
  remove(request: Request): boolean {
    return this.#arrivals.delete(request);
  }

  /**
   * Ends the current turn, after all its sockets have been read.
   *
   * @param hasAccepted Whether a connection was accepted in the turn.
   */
  endTurn(hasAccepted: boolean): void {
    this.#turn += 1;
    this.#isAccepting = hasAccepted;
  }

  /** Takes the next request that may be handled after the last ended turn; `undefined` if there is none. */
  take(now: Milliseconds): Request | undefined {
    const [next] = this.#arrivals;
    if (next === undefined) return undefined;
    const [request, { turn, readAt }] = next;
    if (turn >= this.#turn - 1) return undefined;
    if (this.#isAccepting && now - readAt < this.#maxPostponementMs) return undefined;
    this.#arrivals.delete(request);
    return request;
  }

  /** Whether the oldest request has waited for so long that handling comes before reading more. */
  isOverdue(now: Milliseconds): boolean {
    return this.oldestWaitMs(now) >= this.#maxWaitMs;
  }
}
