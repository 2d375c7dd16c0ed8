import type { Milliseconds } from '../clock/mod.ts';

/** Why a request did not run. */
export type NotRunReason =
  | 'bad-request'
  | 'unauthorized'
  | 'forbidden'
  | 'not-found'
  | 'too-large'
  | 'limit'
  | 'overloaded'
  | 'deadline'
  | 'load-failed'
  | 'leaving'
  | 'unreachable'
  | 'starting'
  | 'revoked'
  | 'cancelled';

/** Why a request that ran did not succeed. */
export type FailedReason =
  'backend-error' | 'wrong-adapter' | 'damaged-answer' | 'cancelled' | 'key-reused';

/** Why it is unknown whether a request ran. */
export type UnknownReason =
  | 'link-lost'
  | 'restarted'
  | 'reply-lost'
  | 'deadline'
  | 'key-expired'
  /** No call with the idempotency key has started, but one may be in transit. */
  | 'not-begun';

/** The request ran and its response is complete. */
export type Done = { readonly kind: 'done' };

/** The request did not run and never will. */
export type NotRun = {
  readonly kind: 'not-run';
  readonly reason: NotRunReason;
  readonly detail: string;
  /** Delay before a retry; absent if a retry cannot help. */
  readonly retryAfterMs?: Milliseconds;
};

/** The request ran, but did not succeed. */
export type Failed = {
  readonly kind: 'failed';
  readonly reason: FailedReason;
  readonly detail: string;
};

/** The request may have run. */
export type Unknown = {
  readonly kind: 'unknown';
  readonly reason: UnknownReason;
  readonly detail: string;
};

/** How a request ended; each request has exactly one outcome. */
export type Outcome = Done | NotRun | Failed | Unknown;

/** Builds a `not-run` outcome. */
export function notRun(reason: NotRunReason, detail: string, retryAfterMs?: Milliseconds): NotRun {
  return {
    kind: 'not-run',
    reason,
    detail,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}

/** Builds a `failed` outcome. */
export function failed(reason: FailedReason, detail: string): Failed {
  return { kind: 'failed', reason, detail };
}

/** Builds an `unknown` outcome. */
export function unknown(reason: UnknownReason, detail: string): Unknown {
  return { kind: 'unknown', reason, detail };
}

/** The outcome of a request with a complete response. */
export const DONE: Done = { kind: 'done' };
