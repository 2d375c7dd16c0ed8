import type { Milliseconds } from '../clock/mod.ts';
import type { AdapterVersion } from '../identity/mod.ts';

type Use = { readonly count: number; readonly at: Milliseconds };

/** Adapter versions whose uses are remembered, resident or not. */
const REMEMBERED = 1024;

/** Counts uses of adapter versions; older uses weigh less. */
export class Popularity {
  readonly #uses = new Map<AdapterVersion, Use>();

  readonly #halfLifeMs: Milliseconds;

  /** @param halfLifeMs Time after which a use weighs half. */
  constructor(halfLifeMs: Milliseconds) {
    this.#halfLifeMs = halfLifeMs;
  }

  /** Counts one use. */
  note(adapterVersion: AdapterVersion, now: Milliseconds): void {
    const count = this.of(adapterVersion, now) + 1;
    this.#uses.delete(adapterVersion);
    this.#uses.set(adapterVersion, { count, at: now });
    if (this.#uses.size <= REMEMBERED) return;
    const [oldest] = this.#uses.keys();
    this.#uses.delete(oldest!);
  }

  /** Returns the weighted count of uses. */
  of(adapterVersion: AdapterVersion, now: Milliseconds): number {
    const use = this.#uses.get(adapterVersion);
    return use === undefined ? 0 : use.count * 0.5 ** ((now - use.at) / this.#halfLifeMs);
  }
}
