import type { Milliseconds } from '../clock/mod.ts';

/** How an issuer sees the other entries. */
export type FleetView = {
  /** Names of all entries listed, also of those that have fallen silent lately; without this one. */
  readonly known: readonly string[];
  /** Those heard of within `HEARD_MAX_AGE_MS`, directly or through others. */
  readonly heard: readonly string[];
};

/** Age of the last sign of an entry up to which it counts as in touch. */
export const HEARD_MAX_AGE_MS: Milliseconds = 1500;

/** Time for which the number of entries is remembered: those beyond a partition leave the list before it ends. */
const MEMORY_MS: Milliseconds = 600_000;

/** Span of time of which the largest number is kept. */
const SPAN_MS: Milliseconds = 30_000;

/** Allowance for entries that were heard of slightly too long ago. */
const HEARD_FACTOR = 1.05;

/** Tells which part of the entries is in touch with this one; parts of a partition issue that part of a limit. */
export class FleetShare {
  readonly #minKnown: number;

  /** Largest number of entries known in each span of time. */
  readonly #largest = new Map<number, number>();

  /** @param minKnown Number of entries assumed until any other is known. */
  constructor(minKnown: number) {
    this.#minKnown = minKnown;
  }

  /** Returns the number of entries to assume. */
  knownCount(view: FleetView, now: Milliseconds): number {
    const span = Math.floor(now / SPAN_MS);
    const count = view.known.length + 1;
    this.#largest.set(span, Math.max(this.#largest.get(span) ?? 0, count));
    this.#largest.forEach((_, earlier) => {
      if ((span - earlier) * SPAN_MS > MEMORY_MS) this.#largest.delete(earlier);
    });
    const largest = Math.max(...this.#largest.values());
    return largest === 1 ? this.#minKnown : largest;
  }

  /** Returns the share of the entries that have been heard of recently, at most 1. */
  heardShare(view: FleetView, now: Milliseconds): number {
    const heard = view.heard.length + 1;
    return Math.min(1, (HEARD_FACTOR * heard) / this.knownCount(view, now));
  }

  /** Returns the share of the entries that ask this one, at most 1. */
  askingShare(asking: number, view: FleetView, now: Milliseconds): number {
    return Math.min(1, asking / this.knownCount(view, now));
  }
}
