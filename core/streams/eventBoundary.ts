const LINE_FEED = 0x0a;

/** Tracks whether an event stream has ended between two events. */
export class EventBoundary {
  /** The last two bytes, the newer one second. */
  #last: readonly [number, number] = [0, 0];

  /** Whether the stream so far has at least one event and ends with a complete one. */
  get isBetweenEvents(): boolean {
    return this.#last.every((byte) => byte === LINE_FEED);
  }

  /** Adds a chunk of the stream. */
  push(chunk: Uint8Array): void {
    const previous = chunk.length > 1 ? chunk.at(-2) : this.#last[1];
    const newest = chunk.at(-1);
    if (newest !== undefined) this.#last = [previous ?? 0, newest];
  }
}
