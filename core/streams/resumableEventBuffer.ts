import { ByteBuffer } from '../collections/mod.ts';

const LINE_FEED = 0x0a;

/** Delimiter at the end of each event. */
const EVENT_END = Buffer.from([LINE_FEED, LINE_FEED]);

const ID_LINE = /^id: ?(\d+)\s*$/m;

function idOf(event: Buffer): number | undefined {
  const match = ID_LINE.exec(event.toString('latin1'));
  const id = match === null ? NaN : Number(match[1]);
  return Number.isSafeInteger(id) ? id : undefined;
}

/**
 * Splits an event stream into complete events, so that another server can resume it after a failure.
 *
 * The output always ends with a complete event and contains no event id twice.
 */
export class ResumableEventBuffer {
  readonly #partialEvent = new ByteBuffer();

  #lastEventId: number | undefined;

  /** Id of the last event in the output; `undefined` before the first one with an id. */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /** Whether the buffer holds an incomplete event. */
  get hasPartial(): boolean {
    return this.#partialEvent.length > 0;
  }

  /** Size of the incomplete event. */
  get partialBytes(): number {
    return this.#partialEvent.length;
  }

  /** Adds a chunk of the stream. Returns the events that it completes, without those already returned. */
  push(chunk: Buffer): Buffer {
    const searchedLength = this.#partialEvent.length;
    if (searchedLength > 0) this.#partialEvent.append(chunk);
    const bytes = searchedLength > 0 ? this.#partialEvent.bytes : chunk;
    const events: Buffer[] = [];
    let start = 0;
    // The delimiter may begin with the last byte that was there before.
    let end = bytes.indexOf(EVENT_END, Math.max(0, searchedLength - 1));
    while (end >= 0) {
      const next = end + EVENT_END.length;
      const event = bytes.subarray(start, next);
      if (this.#isNew(event)) events.push(event);
      start = next;
      end = bytes.indexOf(EVENT_END, start);
    }
    const complete = Buffer.concat(events);
    this.#keep(bytes, start);
    return complete;
  }

  /** Discards the incomplete event; call this when the server fails. */
  discardPartial(): void {
    this.#partialEvent.clear();
  }

  /** Keeps the bytes from an offset on as the incomplete event. */
  #keep(bytes: Buffer, start: number): void {
    if (start === 0 && bytes.length === this.#partialEvent.length) return;
    const rest = bytes.subarray(start);
    this.discardPartial();
    if (rest.length > 0) this.#partialEvent.append(rest);
  }

  #isNew(event: Buffer): boolean {
    const id = idOf(event);
    if (id === undefined) return true;
    if (this.#lastEventId !== undefined && id <= this.#lastEventId) return false;
    this.#lastEventId = id;
    return true;
  }
}
