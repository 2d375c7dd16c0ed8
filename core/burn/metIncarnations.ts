import type { Milliseconds } from '../clock/mod.ts';
import type { Identity } from '../link/mod.ts';
import type { BurnSnapshot } from './snapshot.ts';

type Contact = { readonly identity: Identity; readonly at: Milliseconds };

/** Records the incarnations of other processes that this one had contact with most recently. */
export class MetIncarnations {
  readonly #capacity: number;

  /** In order of the last contact, oldest first. */
  readonly #contacts = new Map<string, Contact>();

  /** @param capacity Maximum number of incarnations. @default 512 */
  constructor(capacity = 512) {
    this.#capacity = capacity;
  }

  /** Records contact with an incarnation. */
  recordContact(identity: Identity, now: Milliseconds): void {
    this.#contacts.delete(identity.incarnation);
    this.#contacts.set(identity.incarnation, { identity, at: now });
    const [oldest] = this.#contacts.keys();
    if (this.#contacts.size > this.#capacity && oldest !== undefined) {
      this.#contacts.delete(oldest);
    }
  }

  /** Returns all incarnations with the time since the last contact. */
  list(now: Milliseconds): BurnSnapshot['met'] {
    return [...this.#contacts.values()].map(({ identity, at }) => ({
      host: identity.host,
      incarnation: identity.incarnation,
      ageMs: Math.max(0, now - at),
    }));
  }
}
