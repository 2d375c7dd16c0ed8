import type { Milliseconds } from '../clock/mod.ts';

/** Options of `ListenQueueAge`. */
export type ListenQueueAgeOptions = {
  /** Time in the queue from which on connections are dropped. @default 500 */
  readonly maxAgeMs?: Milliseconds;
  /** Time in the queue below which connections are served again. @default 100 */
  readonly freshAgeMs?: Milliseconds;
};

/**
 * Tells how long connections wait in the listen queue of the kernel, by markers that wait among them.
 *
 * The queue is served in order, so whatever is accepted while a marker waits has waited for longer than
 * that marker.
 */
export class ListenQueueAge<Marker> {
  /** When each marker joined the queue, the first first. */
  readonly #joinedAt = new Map<Marker, Milliseconds>();

  readonly #maxAgeMs: Milliseconds;

  readonly #freshAgeMs: Milliseconds;

  #isStale = false;

  constructor({ maxAgeMs = 500, freshAgeMs = 100 }: ListenQueueAgeOptions = {}) {
    this.#maxAgeMs = maxAgeMs;
    this.#freshAgeMs = freshAgeMs;
  }

  /** Records that a marker has joined the queue. */
  noteJoined(marker: Marker, now: Milliseconds): void {
    this.#joinedAt.set(marker, now);
  }

  /** Records that a marker has left the queue, accepted or not; returns how long it waited. */
  noteLeft(marker: Marker, now: Milliseconds): Milliseconds | undefined {
    const joinedAt = this.#joinedAt.get(marker);
    if (joinedAt === undefined) return undefined;
    this.#joinedAt.delete(marker);
    return now - joinedAt;
  }

  /** Returns how long the connection that is accepted next has waited at least; 0 if no marker waits. */
  leastAgeMs(now: Milliseconds): Milliseconds {
    const [joinedAt] = this.#joinedAt.values();
    return joinedAt === undefined ? 0 : now - joinedAt;
  }

  /**
   * Whether connections have waited for so long that they are better dropped.
   *
   * Once begun, dropping goes on until the queue is fresh: at the edge of the longest wait, all that is
   * served would have waited for that long.
   */
  isStale(now: Milliseconds): boolean {
    const ageMs = this.leastAgeMs(now);
    this.#isStale = ageMs >= (this.#isStale ? this.#freshAgeMs : this.#maxAgeMs);
    return this.#isStale;
  }
}
