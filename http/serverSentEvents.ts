const MEBIBYTE = 1024 * 1024;

/**
 * Parses a byte stream of server-sent events into the data of each event.
 *
 * @example
 * ```ts
 * const parser = new ServerSentEventParser();
 * parser.push(Buffer.from('data: a\n\n')); // ['a']
 * ```
 */
export class ServerSentEventParser {
  readonly #maxEventBytes: number;

  readonly #decoder = new TextDecoder('utf-8');

  #buffer = '';

  /** @param maxEventBytes The largest incomplete event that is buffered. @default 1048576 */
  constructor(maxEventBytes = MEBIBYTE) {
    this.#maxEventBytes = maxEventBytes;
  }

  /**
   * Adds bytes and returns the data of each event that they complete.
   *
   * @throws {RangeError} If an incomplete event exceeds `maxEventBytes`.
   */
  push(bytes: Uint8Array): readonly string[] {
    this.#buffer += this.#decoder.decode(bytes, { stream: true });
    const events = this.#buffer.split('\n\n');
    this.#buffer = events.pop() ?? '';
    if (this.#buffer.length > this.#maxEventBytes) {
      throw new RangeError(
        `a server-sent event exceeds ${this.#maxEventBytes} bytes; send smaller events`,
      );
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
