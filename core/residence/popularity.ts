import type { Milliseconds } from '../clock/mod.ts';
import type { AdapterVersion } from '../identity/mod.ts';

/** A use count as of the time `at`. */
type DecayedCount = { readonly count: number; readonly updatedAt: Milliseconds };

/** Maximum number of adapter versions counted; the least recently used is dropped. */
const MAX_ADAPTER_VERSIONS = 1024;

/** Counts uses of adapter versions with exponential decay. */
export class Popularity {
  readonly #uses = new Map<AdapterVersion, DecayedCount>();

  readonly #halfLifeMs: Milliseconds;

  /** @param halfLifeMs Time after which the weight of a use is halved. */
  constructor(halfLifeMs: Milliseconds) {
    this.#halfLifeMs = halfLifeMs;
  }

  /** Counts one use. */
  recordUse(adapterVersion: AdapterVersion, now: Milliseconds): void {
    const count = this.useCount(adapterVersion, now) + 1;
    this.#uses.delete(adapterVersion);
    this.#uses.set(adapterVersion, { count, updatedAt: now });
    if (this.#uses.size <= MAX_ADAPTER_VERSIONS) return;
    const [oldest] = this.#uses.keys();
    this.#uses.delete(oldest!);
  }

  /** Returns the decayed use count of an adapter version. */
  useCount(adapterVersion: AdapterVersion, now: Milliseconds): number {
    const use = this.#uses.get(adapterVersion);
    return use === undefined ? 0 : use.count * 0.5 ** ((now - use.updatedAt) / this.#halfLifeMs);
  }
}
