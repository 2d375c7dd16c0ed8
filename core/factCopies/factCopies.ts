import type { Milliseconds } from '../clock/mod.ts';
import { agedFacts } from './agedFacts.ts';
import type { FactCopy } from './agedFacts.ts';

/** Copies that are kept; all entries know nearly the same. */
const MAX_COPIES = 2;

/** Time for which a copy is kept; facts older than this matter no more. */
const MAX_AGE_MS: Milliseconds = 600_000;

type KeptCopy = { readonly copy: FactCopy; readonly at: Milliseconds };

/** The latest copies of the entries' facts, kept by a process that outlives the entries. */
export class FactCopies {
  /** By entry, the oldest first. */
  readonly #copies = new Map<string, KeptCopy>();

  /** Keeps the copy of an entry instead of its earlier one. */
  keep(entry: string, copy: FactCopy, now: Milliseconds): void {
    this.#copies.delete(entry);
    this.#copies.set(entry, { copy, at: now });
    const [oldest] = this.#copies.keys();
    if (oldest !== undefined && this.#copies.size > MAX_COPIES) this.#copies.delete(oldest);
  }

  /** Returns the copies as of now, without that of the entry that asks, the oldest first. */
  copiesFor(entry: string, now: Milliseconds): readonly FactCopy[] {
    return [...this.#copies]
      .filter(([sender, { at }]) => sender !== entry && now - at <= MAX_AGE_MS)
      .map(([, { copy, at }]) => agedFacts(copy, now - at));
  }
}
