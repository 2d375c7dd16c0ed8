/** What ends an event of a stream. */
const EVENT_END = '\n\n';

const ID_LINE = /^id: ?(\d+)\s*$/m;

function idOf(event: Buffer): number | undefined {
  const match = ID_LINE.exec(event.toString('latin1'));
  return match === null ? undefined : Number(match[1]);
}

/**
 * Cuts a stream into whole events, so that another server can go on with it where it broke off.
 *
 * What has been handed out always ends with a whole event, and no event is handed out twice.
 */
export class EventCutter {
  #rest: Buffer = Buffer.alloc(0);

  #lastId: number | undefined;

  /** Id of the last event that was handed out; `undefined` before the first one with an id. */
  get lastId(): number | undefined {
    return this.#lastId;
  }

  /** Whether part of an event waits for its end. */
  get hasRest(): boolean {
    return this.#rest.length > 0;
  }

  /** Takes a piece of the stream; returns the whole events that it completes, and that are new. */
  push(piece: Buffer): Buffer {
    const bytes = this.#rest.length === 0 ? piece : Buffer.concat([this.#rest, piece]);
    const events: Buffer[] = [];
    let start = 0;
    for (;;) {
      const end = bytes.indexOf(EVENT_END, start);
      if (end < 0) break;
      const event = bytes.subarray(start, end + EVENT_END.length);
      if (this.#isNew(event)) events.push(event);
      start = end + EVENT_END.length;
    }
    this.#rest = bytes.subarray(start);
    return Buffer.concat(events);
  }

  /** Drops the part of an event whose server has broken off. */
  dropRest(): void {
    this.#rest = Buffer.alloc(0);
  }

  #isNew(event: Buffer): boolean {
    const id = idOf(event);
    if (id === undefined) return true;
    if (this.#lastId !== undefined && id <= this.#lastId) return false;
    this.#lastId = id;
    return true;
  }
}
