import { mayRunAgain } from './mayRunAgain.ts';
import type { RetryState } from './mayRunAgain.ts';

/** How an attempt to run a request on a backend server ended without a complete response. */
export type AttemptOutcome =
  /** No byte of the request left this process. */
  | 'not-sent'
  /** The server states that it did not run the request. */
  | 'not-run'
  /** The server may have run the request, and no part of its response has reached the caller. */
  | 'unknown'
  /** The server responded with an error. */
  | 'failed';

/** The attempts of a request so far. */
export type RequestHistory = RetryState & {
  /** Attempts that did not run. */
  readonly notRunCount: number;
  /** Whether the request's deadline has passed. */
  readonly isPastDeadline: boolean;
};

/**
 * What to do after an attempt: retry, refuse the request as not run, forward the error response, or report
 * that it is unknown whether the request ran.
 */
export type NextStep = 'again' | 'refuse' | 'pass-on' | 'unknown';

/** Attempts that did not run before a request is refused; more would use up the service's retry budget. */
const MAX_NOT_RUN_ATTEMPTS = 3;

function mayRetry(history: RequestHistory): boolean {
  return mayRunAgain(history) && !history.isPastDeadline;
}

function stepAfterNotRun(history: RequestHistory): NextStep {
  const {
    notRunCount: notRun,
    isPastDeadline,
    mayHaveRunCount: mayHaveRun,
    repeatability,
  } = history;
  if (notRun < MAX_NOT_RUN_ATTEMPTS && !isPastDeadline) return 'again';
  // A request that must run at most once and may have run is never reported as not run.
  return repeatability === 'once' && mayHaveRun > 0 ? 'unknown' : 'refuse';
}

const STEP_AFTER: Readonly<Record<AttemptOutcome, (history: RequestHistory) => NextStep>> = {
  'not-sent': stepAfterNotRun,
  'not-run': stepAfterNotRun,
  unknown: (history) => (mayRetry(history) ? 'again' : 'unknown'),
  failed: (history) => (mayRetry(history) ? 'again' : 'pass-on'),
};

/**
 * Decides what to do after an attempt that ended without a complete response.
 *
 * @param outcome How the attempt ended.
 * @param history The attempts so far, this one included.
 */
export function nextStep(outcome: AttemptOutcome, history: RequestHistory): NextStep {
  return STEP_AFTER[outcome](history);
}
