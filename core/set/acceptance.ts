import type { SetStamp } from '../link/mod.ts';

/** How a stamp that a process hears of stands to what it has in force. */
export type StampVerdict = 'older' | 'in-force' | 'newer' | 'refused';

/** Sets that bear one generation and differ, none of which is taken from now on. */
export type SetConflict = { readonly generation: number; readonly digests: readonly string[] };

/**
 * Decides which sets a process takes: only rising generations, and none of a generation that two
 * different sets bear.
 */
export class SetAcceptance {
  #inForce: SetStamp = { generation: 0, digest: '' };

  /** The highest generation heard of, and the first digest that bore it. */
  #highest: SetStamp = this.#inForce;

  #conflict: SetConflict | undefined;

  /** What is in force; generation 0 stands for nothing. */
  get inForce(): SetStamp {
    return this.#inForce;
  }

  /** The conflict that waits for a higher generation. */
  get conflict(): SetConflict | undefined {
    return this.#conflict;
  }

  /** Judges a stamp and remembers it. */
  hear(stamp: SetStamp): StampVerdict {
    const { generation, digest } = stamp;
    if (generation > this.#highest.generation) this.#highest = { generation, digest };
    else if (generation === this.#highest.generation && digest !== this.#highest.digest) {
      this.#noteConflict(stamp);
    }
    if (generation < this.#inForce.generation) return 'older';
    if (generation === this.#inForce.generation) {
      return digest === this.#inForce.digest ? 'in-force' : 'refused';
    }
    return this.#conflict?.generation === generation ? 'refused' : 'newer';
  }

  /**
   * Puts a set into force.
   *
   * @returns Whether the set was taken; a set may have become old while it was read.
   */
  take(stamp: SetStamp): boolean {
    if (this.hear(stamp) !== 'newer') return false;
    this.#inForce = { generation: stamp.generation, digest: stamp.digest };
    if (this.#conflict !== undefined && stamp.generation > this.#conflict.generation) {
      this.#conflict = undefined;
    }
    return true;
  }

  #noteConflict({ generation, digest }: SetStamp): void {
    const known = this.#conflict?.generation === generation ? this.#conflict.digests : [];
    const digests = [...new Set([this.#highest.digest, ...known, digest])];
    this.#conflict = { generation, digests };
  }
}
