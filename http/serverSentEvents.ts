const MEBIBYTE = 1024 * 1024;

/**
 * Splits a byte stream of server-sent events into the text of their `data` fields.
 *
 * @example
 * ```ts
 * const splitter = new EventSplitter();
 * splitter.push(Buffer.from('data: a\n\n')); // ['a']
 * ```
 */
export class EventSplitter {
  readonly #maxEventBytes: number;

  readonly #decoder = new TextDecoder('utf-8');

  #rest = '';

  /** @param maxEventBytes The longest event that is kept until it is complete. */
  constructor(maxEventBytes = MEBIBYTE) {
    this.#maxEventBytes = maxEventBytes;
  }

  /**
   * Takes bytes and returns the data of each event that they complete.
   *
   * @throws {RangeError} When an event is too long.
   */
  push(bytes: Uint8Array): readonly string[] {
    this.#rest += this.#decoder.decode(bytes, { stream: true });
    const events = this.#rest.split('\n\n');
    this.#rest = events.pop() ?? '';
    if (this.#rest.length > this.#maxEventBytes) {
      throw new RangeError(`an event is over ${this.#maxEventBytes} bytes; send shorter ones`);
    }
    return events.map((event) =>
      event
        .split('\n')
        .filter((line) => line.startsWith('data:'))
        .map((line) => line.slice('data:'.length).trimStart())
        .join('\n'),
    );
  }
}
