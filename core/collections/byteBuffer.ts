const INITIAL_CAPACITY = 1024;

const NO_BYTES: Buffer = Buffer.alloc(0);

/**
 * Collects bytes that arrive in chunks, in one storage whose size doubles.
 *
 * Each byte is copied a few times at most, and a chunk takes no memory beyond its bytes, however small it is.
 */
export class ByteBuffer {
  #storage = NO_BYTES;

  #length = 0;

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** The bytes so far; valid until the buffer changes. */
  get bytes(): Buffer {
    return this.#storage.subarray(0, this.#length);
  }

  /** Adds a chunk. */
  append(chunk: Uint8Array): void {
    const length = this.#length + chunk.length;
    if (length > this.#storage.length) {
      const grown = Buffer.alloc(Math.max(length, 2 * this.#storage.length, INITIAL_CAPACITY));
      this.#storage.copy(grown, 0, 0, this.#length);
      this.#storage = grown;
    }
    this.#storage.set(chunk, this.#length);
    this.#length = length;
  }

  /** Removes all bytes and releases the storage. */
  clear(): void {
    this.#storage = NO_BYTES;
    this.#length = 0;
  }
}
