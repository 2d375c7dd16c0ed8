import type { Milliseconds } from '../clock/mod.ts';

/** A refused request. */
export type Refusal = {
  readonly id: string;
  /** 0 is the highest. */
  readonly priority: number;
  /** Expected wait of the request, had it been queued. */
  readonly waitMs: Milliseconds;
  /** Time after arrival for which it would have waited. */
  readonly patienceMs: Milliseconds;
  /** Time to the caller's deadline. */
  readonly leftMs: Milliseconds;
  /** Requests per millisecond that end. */
  readonly ratePerMs: number;
};

/** What a caller that comes back was told. */
export type Appointment =
  /** The caller was not refused before, or its turn is over. */
  | { readonly kind: 'none' }
  /** The caller comes back at its turn. */
  | { readonly kind: 'due' }
  /** The caller comes back before its turn. */
  | { readonly kind: 'early'; readonly leftMs: Milliseconds };

type Turn = { readonly at: Milliseconds; readonly isBooked: boolean; readonly priority: number };

/** Longest `Retry-After`, as a share of the time left; callers ignore one of more than a third. */
const MAX_SHARE_OF_TIME_LEFT = 0.32;

/** Shortest `Retry-After`. */
const MIN_RETRY_AFTER_MS: Milliseconds = 50;

/** How much earlier than its turn a caller may come back: timers of callers are rounded to 10 ms. */
const EARLY_MS: Milliseconds = 20;

/** How long after its turn a caller may come back. */
const LATE_MS: Milliseconds = 400;

/**
 * Share of the capacity that is kept for callers that were refused before. What is not used falls to others;
 * the rest lets new callers in, so that a burst of refusals does not refuse all that follow.
 */
const BOOKED_SHARE = 0.5;

/** Largest number of refused callers that are remembered. */
const MAX_TURNS = 4096;

/** The turns of refused callers: in the order of their refusals, as fast as capacity becomes free. */
export class RefusalSchedule {
  /** By request id, in the order of the turns. */
  readonly #turns = new Map<string, Turn>();

  /** When the next turn of each class is free: after those of the class and of more urgent ones. */
  readonly #nextTurnAt = new Map<number, Milliseconds>();

  /**
   * Books a turn for a refused caller, and returns the time until then.
   *
   * A caller whose turn is beyond the delay that it would obey gets no turn; it is asked to come back as late
   * as it obeys.
   */
  retryAfterMs(refusal: Refusal, now: Milliseconds): Milliseconds {
    const { id, priority, waitMs, patienceMs, leftMs, ratePerMs } = refusal;
    this.#forgetPast(now);
    const earlier = this.#turns.get(id);
    if (earlier !== undefined && earlier.at > now) return earlier.at - now;
    const longestMs = Math.max(0, leftMs * MAX_SHARE_OF_TIME_LEFT);
    const dueMs = Math.max(MIN_RETRY_AFTER_MS, waitMs - patienceMs);
    const turnAt = Math.max(now + dueMs, this.#nextTurnOf(priority));
    const isBooked = turnAt - now <= longestMs;
    const at = Math.min(turnAt, now + longestMs);
    if (this.#turns.size < MAX_TURNS) {
      this.#turns.delete(id);
      this.#turns.set(id, { at, isBooked, priority });
    }
    if (isBooked) this.#delayTurns(priority, turnAt, 1 / (ratePerMs * BOOKED_SHARE));
    return at - now;
  }

  /** Returns whether a caller was refused before, and comes back at its turn. */
  appointmentOf(id: string, now: Milliseconds): Appointment {
    const turn = this.#turns.get(id);
    if (turn === undefined || now > turn.at + LATE_MS) return { kind: 'none' };
    if (now < turn.at - EARLY_MS) return { kind: 'early', leftMs: turn.at - now };
    return turn.isBooked ? { kind: 'due' } : { kind: 'none' };
  }

  /** Takes the precedence at its turn from a caller that came back before. */
  noteEarly(id: string): void {
    const turn = this.#turns.get(id);
    if (turn !== undefined) this.#turns.set(id, { ...turn, isBooked: false });
  }

  /** Forgets the turn of a caller that is served or has come back for good. */
  release(id: string): void {
    this.#turns.delete(id);
  }

  /**
   * Number of turns of a class and of more urgent ones that fall due by a time and whose callers have not come
   * back.
   */
  bookedUntil(time: Milliseconds, priority: number, now: Milliseconds): number {
    let count = 0;
    this.#turns.forEach((turn) => {
      const isAhead = turn.isBooked && turn.priority <= priority;
      if (isAhead && turn.at <= time && turn.at + LATE_MS >= now) count += 1;
    });
    return count;
  }

  #nextTurnOf(priority: number): Milliseconds {
    let next = 0;
    this.#nextTurnAt.forEach((at, each) => {
      if (each <= priority) next = Math.max(next, at);
    });
    return next;
  }

  /** Moves the next turns of a class and of less urgent ones behind a booked one. */
  #delayTurns(priority: number, turnAt: Milliseconds, intervalMs: Milliseconds): void {
    this.#nextTurnAt.set(priority, turnAt + intervalMs);
    this.#nextTurnAt.forEach((at, each) => {
      if (each > priority) this.#nextTurnAt.set(each, Math.max(at, turnAt) + intervalMs);
    });
  }

  #forgetPast(now: Milliseconds): void {
    for (const [id, { at }] of this.#turns) {
      if (at + LATE_MS < now) this.#turns.delete(id);
    }
  }
}
