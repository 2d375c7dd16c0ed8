import type { DemandTotal } from './tenantDemand.ts';

/** What decides an entry's part of a limit. */
export type ShareTerms = {
  /** Entries that may serve the tenant. */
  readonly entries: number;
  /** What this entry sees. */
  readonly own: number;
  /** What a relay hears; `undefined` when none is heard. */
  readonly total: (Pick<DemandTotal, 'entries'> & { readonly sum: number }) | undefined;
};

/** Part of a limit that is split evenly, so that an idle entry can serve its first requests. */
const EVEN_PART = 0.1;

/**
 * Returns an entry's part of a limit, between 0 and 1.
 *
 * The parts of all entries never come to more than 1: a relay that hears only some entries gives
 * those only what they would have by an even split, and an entry that hears no relay takes that.
 */
export function shareOfLimit(terms: ShareTerms): number {
  const { own, total } = terms;
  const entries = Math.max(1, terms.entries, total?.entries ?? 0);
  const even = 1 / entries;
  if (total === undefined || total.sum <= 0) return even;
  const byDemand = Math.min(1, own / total.sum) * (total.entries / entries);
  return EVEN_PART * even + (1 - EVEN_PART) * byDemand;
}
