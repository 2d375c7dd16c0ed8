import type { Milliseconds } from '../clock/mod.ts';

/** Asks the issuer of a tenant's tokens for a lease. */
export type LeaseRequest = {
  /** Number of this request at the entry that asks. */
  readonly number: number;
  readonly tenant: string;
  /** Tokens that the entry could use before it asks again. */
  readonly wanted: number;
  /** Tokens below which a lease is of no use: what the next request costs. */
  readonly needed: number;
  /** Tokens a second that arrive at the entry, urgent ones counted more. */
  readonly weight: number;
  /** Tokens of earlier leases that were not spent, or spent within the last second on what did not run. */
  readonly returned: number;
  /** Tokens spent earlier on requests that did not run. */
  readonly refunded: number;
};

/** What the issuer answers. */
export type LeaseAnswer = {
  readonly number: number;
  readonly tenant: string;
  /** Whether the entry issues tokens; one that has just started does not know the others yet. */
  readonly isReady: boolean;
  /** Tokens that the entry may spend until `leaseMs` after it sent its request. */
  readonly tokens: number;
  /** Whether fewer tokens were issued than wanted. */
  readonly isShort: boolean;
  /** Expected time until the tokens needed are available, or until the entry issues tokens. */
  readonly waitMs: Milliseconds;
};
