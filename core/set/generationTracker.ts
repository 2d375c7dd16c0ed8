import type { SetStamp } from '../link/mod.ts';

/** How an observed stamp compares with the one in force. */
export type StampStatus = 'older' | 'in-force' | 'newer' | 'conflicting';

/** Different sets published with the same generation; none of them may come into force. */
export type SetConflict = { readonly generation: number; readonly digests: readonly string[] };

/**
 * Tracks the set in force at a process and decides which sets may replace it.
 *
 * A set must have a higher generation than the one in force, and no other set may be known to have
 * the same generation.
 */
export class GenerationTracker {
  #inForce: SetStamp = { generation: 0, digest: '' };

  /** The highest generation observed, with the digest first observed for it. */
  #highest: SetStamp = this.#inForce;

  #conflict: SetConflict | undefined;

  /** The set in force; generation 0 stands for none. */
  get inForce(): SetStamp {
    return this.#inForce;
  }

  /** The unresolved conflict, until a higher generation comes into force. */
  get conflict(): SetConflict | undefined {
    return this.#conflict;
  }

  /** Records a stamp and compares it with the one in force. */
  observe(stamp: SetStamp): StampStatus {
    const { generation, digest } = stamp;
    if (generation > this.#highest.generation) this.#highest = { generation, digest };
    else if (generation === this.#highest.generation && digest !== this.#highest.digest) {
      this.#recordConflict(stamp);
    }
    if (generation < this.#inForce.generation) return 'older';
    if (generation === this.#inForce.generation) {
      return digest === this.#inForce.digest ? 'in-force' : 'conflicting';
    }
    return this.#conflict?.generation === generation ? 'conflicting' : 'newer';
  }

  /**
   * Puts a set into force, unless it has become outdated or conflicting while it was read.
   *
   * @returns Whether the set is now in force.
   */
  activate(stamp: SetStamp): boolean {
    if (this.observe(stamp) !== 'newer') return false;
    this.#inForce = { generation: stamp.generation, digest: stamp.digest };
    if (this.#conflict !== undefined && stamp.generation > this.#conflict.generation) {
      this.#conflict = undefined;
    }
    return true;
  }

  #recordConflict({ generation, digest }: SetStamp): void {
    const known = this.#conflict?.generation === generation ? this.#conflict.digests : [];
    const digests = [...new Set([this.#highest.digest, ...known, digest])];
    this.#conflict = { generation, digests };
  }
}
