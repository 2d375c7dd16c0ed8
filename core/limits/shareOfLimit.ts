import type { DemandTotal } from './tenantDemand.ts';

/** What decides an entry's part of a limit. */
export type ShareTerms = {
  /** The limit, in the unit of the demand; 0 when there is none in that unit. */
  readonly limit: number;
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
 * Returns the part of the limit that is left to the entries heard, in the unit of the demand, for an
 * entry: what it sees, and an even part of what nobody needs. Above the limit, by demand.
 */
function partByDemand(own: number, sum: number, limit: number, heard: number): number {
  if (limit <= 0 || sum >= limit) return Math.min(1, own / sum);
  return (own + (limit - sum) / heard) / limit;
}

/**
 * Returns an entry's part of a limit, between 0 and 1.
 *
 * The parts of all entries never come to more than 1: a relay that hears only some entries gives
 * those only what they would have by an even split, and an entry that hears no relay takes that.
 * While a tenant asks for less than its limit, no entry's part depends on which entry its last few
 * requests happened to reach.
 */
export function shareOfLimit(terms: ShareTerms): number {
  const { limit, own, total } = terms;
  const entries = Math.max(1, terms.entries, total?.entries ?? 0);
  const even = 1 / entries;
  if (total === undefined || total.sum <= 0) return even;
  const heardPart = total.entries / entries;
  const byDemand = partByDemand(own, total.sum, limit * heardPart, total.entries) * heardPart;
  return EVEN_PART * even + (1 - EVEN_PART) * Math.min(heardPart, byDemand);
}
