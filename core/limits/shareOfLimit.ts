import type { DemandTotal } from './tenantDemand.ts';

/** The inputs for an entry's share of a limit. */
export type ShareInputs = {
  /** The limit, in the unit of the demand; 0 when there is none in that unit. */
  readonly limit: number;
  /** Number of entries that may serve the tenant. */
  readonly entries: number;
  /** Demand at this entry, as included in the total. */
  readonly ownDemand: number;
  /** Demand in a relay total and the number of its entries; `undefined` without a recent total. */
  readonly total: (Pick<DemandTotal, 'entries'> & { readonly sum: number }) | undefined;
};

/** Fraction of a limit that is split evenly, so that an idle entry can serve its first requests. */
const EVEN_FRACTION = 0.1;

/**
 * Returns an entry's share of a limit by demand. Below the limit, an entry gets its own demand and
 * an even share of the unused rest; above it, the limit is split in proportion to demand.
 */
function shareByDemand(
  ownDemand: number,
  totalDemand: number,
  limit: number,
  entries: number,
): number {
  if (limit <= 0 || totalDemand >= limit) return Math.min(1, ownDemand / totalDemand);
  return (ownDemand + (limit - totalDemand) / entries) / limit;
}

/**
 * Returns an entry's share of a limit, between 0 and 1.
 *
 * The shares of all entries never sum to more than 1. Entries whose relay total covers only some of
 * the entries divide what these would get by an even split; an entry without a total takes its even
 * split. While a tenant's demand is below its limit, the unused rest is split evenly, so that an
 * entry that its latest requests did not reach can still admit new ones.
 */
export function shareOfLimit(inputs: ShareInputs): number {
  const { limit, ownDemand, total } = inputs;
  const entries = Math.max(1, inputs.entries, total?.entries ?? 0);
  const evenShare = 1 / entries;
  if (total === undefined || total.sum <= 0) return evenShare;
  const coveredShare = total.entries / entries;
  const demandShare =
    shareByDemand(ownDemand, total.sum, limit * coveredShare, total.entries) * coveredShare;
  return EVEN_FRACTION * evenShare + (1 - EVEN_FRACTION) * Math.min(coveredShare, demandShare);
}
