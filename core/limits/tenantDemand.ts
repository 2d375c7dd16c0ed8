/** What one entry sees of one limited tenant. */
export type TenantDemand = {
  readonly tenant: string;
  /** Requests a second that callers ask for, admitted or not, at most the limit. */
  readonly requestsPerSecond: number;
  readonly requestsInFlight: number;
};

/** What all entries that a relay hears see of one tenant. */
export type DemandTotal = TenantDemand & {
  /** Entries in the total. */
  readonly entries: number;
};
