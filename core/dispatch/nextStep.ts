import { mayRunAgain } from './mayRunAgain.ts';
import type { RunCount } from './mayRunAgain.ts';

/** How one sending of a request to a backend server ended, when it did not end in a whole answer. */
export type SendingEnd =
  /** No byte of the request left this process. */
  | 'not-sent'
  /** The server says that it did not run the request. */
  | 'not-run'
  /** The server may have run the request, and nothing of its answer has reached the caller. */
  | 'unknown'
  /** The server answered that it failed. */
  | 'failed';

/** What has happened to a request so far. */
export type RequestHistory = RunCount & {
  /** Sendings that no server ran. */
  readonly notRun: number;
  /** Whether the caller's time has passed. */
  readonly isLate: boolean;
};

/** What is done next: send again, refuse as not run, pass the failure on, or answer that it is unknown. */
export type NextStep = 'again' | 'refuse' | 'pass-on' | 'unknown';

/** Sendings without a run after which a request is refused; more would cost other requests' retries. */
const MAX_NOT_RUN = 3;

function mayRepeat(history: RequestHistory): boolean {
  return mayRunAgain(history) && !history.isLate;
}

function afterNotRun(history: RequestHistory): NextStep {
  const { notRun, isLate, mayHaveRun, repeatability } = history;
  if (notRun < MAX_NOT_RUN && !isLate) return 'again';
  // What may run once and may have run before is never called not run.
  return repeatability === 'once' && mayHaveRun > 0 ? 'unknown' : 'refuse';
}

const STEPS: Readonly<Record<SendingEnd, (history: RequestHistory) => NextStep>> = {
  'not-sent': afterNotRun,
  'not-run': afterNotRun,
  unknown: (history) => (mayRepeat(history) ? 'again' : 'unknown'),
  failed: (history) => (mayRepeat(history) ? 'again' : 'pass-on'),
};

/**
 * Decides what follows when a sending of a request did not end in a whole answer.
 *
 * @param end How the sending ended; `history` counts it already.
 */
export function nextStep(end: SendingEnd, history: RequestHistory): NextStep {
  return STEPS[end](history);
}
