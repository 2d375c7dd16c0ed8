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
  readonly #decoder = new TextDecoder('utf-8');

  #rest = '';

  /** Takes bytes and returns the data of each event that they complete. */
  push(bytes: Uint8Array): readonly string[] {
    this.#rest += this.#decoder.decode(bytes, { stream: true });
    const events = this.#rest.split('\n\n');
    this.#rest = events.pop() ?? '';
    return events.map((event) =>
      event
        .split('\n')
        .filter((line) => line.startsWith('data:'))
        .map((line) => line.slice('data:'.length).trimStart())
        .join('\n'),
    );
  }
}
