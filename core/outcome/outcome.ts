import type { Milliseconds } from '../clock/mod.ts';

/** Why a request did not run; each has a remedy in `REMEDIES`. */
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

/** Why a request that ran was not answered. */
export type FailedReason =
  'backend-error' | 'wrong-adapter' | 'damaged-answer' | 'cancelled' | 'key-reused';

/** Why nobody can say whether a request ran. */
export type UnknownReason =
  | 'link-lost'
  | 'restarted'
  | 'reply-lost'
  | 'deadline'
  | 'key-expired'
  /** No call of the key has begun, but one may be on its way. */
  | 'not-begun';

/** The request ran and its answer is whole. */
export type Done = { readonly kind: 'done' };

/** The request is proved not to have run and never will. */
export type NotRun = {
  readonly kind: 'not-run';
  readonly reason: NotRunReason;
  readonly detail: string;
  /** When to ask again; absent when asking again is no use. */
  readonly retryAfterMs?: Milliseconds;
};

/** The request ran and the back end refused it or broke off. */
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

/** How a request ended; each request has exactly one. */
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

/** The outcome of a whole answer. */
export const DONE: Done = { kind: 'done' };
