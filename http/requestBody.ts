import type { Milliseconds } from '../core/clock/mod.ts';

const SMALL_BLOCK_BYTES = 4096;

const BLOCK_BYTES = 65_536;

/** Free blocks that are kept for later bodies. */
const MAX_IDLE_BLOCKS = 256;

/** Share of the further ones that is dropped in a second, so that they are collected in time. */
const DROPPED_SHARE = 0.125;

const DROP_INTERVAL_MS: Milliseconds = 1000;

/** Blocks that are not in use. There are no more than bodies have held at once. */
const freeBlocks: Buffer[] = [];

let dropTimer: NodeJS.Timeout | undefined;

/** Drops free blocks little by little: as many as bodies release would take memory until they are collected. */
function scheduleDrop(): void {
  if (dropTimer !== undefined || freeBlocks.length <= MAX_IDLE_BLOCKS) return;
  dropTimer = setTimeout(() => {
    dropTimer = undefined;
    const excess = freeBlocks.length - MAX_IDLE_BLOCKS;
    if (excess > 0) freeBlocks.splice(-Math.ceil(excess * DROPPED_SHARE));
    scheduleDrop();
  }, DROP_INTERVAL_MS);
  dropTimer.unref();
}

/**
 * The body of a request that arrives in chunks, in blocks of a fixed size. A chunk takes no memory beyond its
 * bytes, however small it is, and a body little more than its length.
 */
export class RequestBody {
  #blocks: Buffer[] = [];

  /** Bytes used of the last block. */
  #used = 0;

  /** Bytes of all blocks. */
  #heldBytes = 0;

  /** Memory that the body takes. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Adds a chunk. */
  append(chunk: Buffer): void {
    if (this.#blocks.length === 0) {
      // A body of one chunk is not copied.
      this.#add(chunk, chunk.length);
      return;
    }
    for (let offset = 0; offset < chunk.length;) {
      let last = this.#blocks.at(-1)!;
      if (this.#used === last.length) {
        last =
          this.#blocks.length === 1
            ? Buffer.allocUnsafeSlow(SMALL_BLOCK_BYTES)
            : (freeBlocks.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES));
        this.#add(last, 0);
      }
      const copied = chunk.copy(last, this.#used, offset);
      this.#used += copied;
      offset += copied;
    }
  }

  /** Returns the whole body, and releases what is not needed to hold it. */
  take(): Buffer {
    const last = this.#blocks.at(-1);
    const parts = [...this.#blocks.slice(0, -1), ...(last ? [last.subarray(0, this.#used)] : [])];
    const body = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
    this.clear();
    return body;
  }

  /** Drops the body. */
  clear(): void {
    // The first block may be a chunk that others use.
    freeBlocks.push(...this.#blocks.slice(1).filter(({ length }) => length === BLOCK_BYTES));
    scheduleDrop();
    this.#blocks = [];
    this.#used = 0;
    this.#heldBytes = 0;
  }

  #add(block: Buffer, used: number): void {
    this.#blocks.push(block);
    this.#used = used;
    this.#heldBytes += block.length;
  }
}
