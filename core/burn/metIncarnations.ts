import type { Milliseconds } from '../clock/mod.ts';
import type { Identity } from '../link/mod.ts';
import type { BurnSnapshot } from './snapshot.ts';

type Meeting = { readonly identity: Identity; readonly at: Milliseconds };

/** Remembers which incarnations of other processes this one has met, the latest ones only. */
export class MetIncarnations {
  readonly #capacity: number;

  /** The one met longest ago first. */
  readonly #meetings = new Map<string, Meeting>();

  /** @param capacity Incarnations remembered. @default 512 */
  constructor(capacity = 512) {
    this.#capacity = capacity;
  }

  /** Notes that an incarnation was met. */
  note(identity: Identity, now: Milliseconds): void {
    this.#meetings.delete(identity.incarnation);
    this.#meetings.set(identity.incarnation, { identity, at: now });
    const [oldest] = this.#meetings.keys();
    if (this.#meetings.size > this.#capacity && oldest !== undefined) {
      this.#meetings.delete(oldest);
    }
  }

  /** Returns all meetings with their ages. */
  list(now: Milliseconds): BurnSnapshot['met'] {
    return [...this.#meetings.values()].map(({ identity, at }) => ({
      host: identity.host,
      incarnation: identity.incarnation,
      ageMs: Math.max(0, now - at),
    }));
  }
}
