/** Demand of one limited tenant at one entry. */
export type TenantDemand = {
  readonly tenant: string;
  /** Requests per second, admitted or refused, capped at the limit. */
  readonly requestsPerSecond: number;
  readonly requestsInFlight: number;
};

/** Demand of one tenant, summed over the entries that report to a relay. */
export type DemandTotal = TenantDemand & {
  /** Number of entries in the sum. */
  readonly entries: number;
};
