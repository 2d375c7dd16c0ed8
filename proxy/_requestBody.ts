import { ByteBuffer } from '../core/collections/mod.ts';

/** The body of a request that arrives in chunks. A body of one chunk is not copied. */
export class RequestBody {
  #only: Buffer | undefined;

  readonly #rest = new ByteBuffer();

  /** Adds a chunk. */
  append(chunk: Buffer): void {
    if (this.#only === undefined && this.#rest.length === 0) {
      this.#only = chunk;
      return;
    }
    if (this.#only !== undefined) this.#rest.append(this.#only);
    this.#only = undefined;
    this.#rest.append(chunk);
  }

  /** Returns the whole body, and releases what is not needed to hold it. */
  take(): Buffer {
    const body = this.#only ?? Buffer.from(this.#rest.bytes);
    this.clear();
    return body;
  }

  /** Drops the body. */
  clear(): void {
    this.#only = undefined;
    this.#rest.clear();
  }
}
