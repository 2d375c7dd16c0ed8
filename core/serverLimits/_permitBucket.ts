import type { Milliseconds } from '../clock/mod.ts';
import type { PermitAnswer, PermitRequest } from './permitMessages.ts';

/** A request for a permit that waits in the queue. */
export type WaitingRequest = PermitRequest & {
  readonly holder: string;
  readonly expiresAt: Milliseconds;
};

/** Permits that may be saved up besides one, as the time in which they accrue. */
const BURST_MS: Milliseconds = 100;

/** Lead of each step of urgency over processes whose last permit is longer ago. */
const PRIORITY_STEP_MS: Milliseconds = 1000;

const MILLISECONDS_IN_SECOND = 1000;

/** The permits of one server that have accrued, and the processes that wait for more. It starts empty. */
export class PermitBucket {
  readonly createdAt: Milliseconds;

  requestedAt: Milliseconds;

  #tokens = 0;

  #refilledAt: Milliseconds;

  /** The latest request of each process that waits. */
  readonly #waiting = new Map<string, WaitingRequest>();

  /** When each process last got a permit. */
  readonly #grantedAt = new Map<string, Milliseconds>();

  constructor(now: Milliseconds) {
    this.createdAt = now;
    this.requestedAt = now;
    this.#refilledAt = now;
  }

  /** Permits that have accrued. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Number of processes that wait. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /** Adds the permits that have accrued since the last call. */
  refill(perSecond: number, now: Milliseconds): void {
    const elapsedMs = Math.max(0, now - this.#refilledAt);
    const capacity = 1 + (perSecond * BURST_MS) / MILLISECONDS_IN_SECOND;
    const accrued = (elapsedMs * perSecond) / MILLISECONDS_IN_SECOND;
    this.#tokens = Math.min(capacity, this.#tokens + accrued);
    this.#refilledAt = Math.max(this.#refilledAt, now);
  }

  /** Puts a request into the queue, in place of an earlier one of the same process. */
  enqueue(request: WaitingRequest): void {
    this.#waiting.set(request.holder, request);
  }

  /** Removes the request of a process from the queue. */
  dequeue(holder: string): void {
    this.#waiting.delete(holder);
  }

  /** Removes the requests that have waited too long. */
  dropExpired(now: Milliseconds): void {
    this.#waiting.forEach(({ expiresAt }, holder) => {
      if (expiresAt <= now) this.#waiting.delete(holder);
    });
  }

  /** The waiting requests in the order in which they get permits. */
  get ordered(): readonly WaitingRequest[] {
    const rank = ({ holder, priority }: WaitingRequest): Milliseconds =>
      (this.#grantedAt.get(holder) ?? -Infinity) + priority * PRIORITY_STEP_MS;
    return [...this.#waiting.values()].sort((a, b) => {
      const [rankA, rankB] = [rank(a), rank(b)];
      // Processes without a permit so far have the same rank whatever the urgency.
      return rankA === rankB ? a.priority - b.priority : rankA - rankB;
    });
  }

  /** Grants a permit to a process that waits. */
  grant({ holder, number, server }: WaitingRequest, now: Milliseconds): PermitAnswer {
    this.#waiting.delete(holder);
    this.#tokens = Math.max(0, this.#tokens - 1);
    this.#grantedAt.set(holder, now);
    return { number, server, kind: 'granted', waitMs: 0 };
  }
}
