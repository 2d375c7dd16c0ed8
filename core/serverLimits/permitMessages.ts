import type { Milliseconds } from '../clock/mod.ts';

/** Asks the issuer of a server for a permit to send it one request. */
export type PermitRequest = {
  /** Number of this request at the process that asks. */
  readonly number: number;
  readonly server: string;
  /** Urgency of the request that the permit is for; 0 is the most urgent. */
  readonly priority: number;
  /** Time after which the permit is of no use. */
  readonly maxWaitMs: Milliseconds;
};

/** What the issuer says: a permit, a place in the queue, or that none will be free in time. */
export type PermitAnswer = {
  readonly number: number;
  readonly server: string;
  readonly kind: 'granted' | 'queued' | 'denied';
  /** Expected time until a permit is free. */
  readonly waitMs: Milliseconds;
};
