import { mayRunAgain } from './mayRunAgain.ts';
import type { RetryState } from './mayRunAgain.ts';
import type { AttemptOutcome } from './nextStep.ts';

/** The parts of a backend server's response head that decide how to treat the response. */
export type ResponseHead = {
  readonly status: number;
  /** The request id that the response names, if any. */
  readonly requestId?: string;
  /** Whether the response carries proof that a backend server produced it. */
  readonly hasProof: boolean;
  /** Whether the backend server states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the body has a content encoding, which requests never ask for. */
  readonly isEncoded: boolean;
};

/** The request that was sent; `mayHaveRun` counts the attempts before this one. */
export type AttemptedRequest = RetryState & { readonly requestId: string };

/**
 * How to treat a response: forward it (`pass-on`), reject it as not belonging to this request (`foreign`),
 * or handle the attempt as ended without a complete response.
 */
export type ResponseVerdict = 'pass-on' | 'foreign' | AttemptOutcome;

/** Statuses that claim that the request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Status of a server that is not the intended one, or that does not hold the requested model. */
export const MISDIRECTED_STATUS = 421;

const FIRST_REDIRECT_STATUS = 300;

const FIRST_SERVER_ERROR_STATUS = 500;

/**
 * Classifies a response by its head, before any of it is forwarded.
 *
 * A response must name its request: one that names none may be an earlier response that comes once more on
 * a kept connection, and a refusal among these would pass for the answer to a request that runs.
 *
 * A success without proof is rejected, since a backend server may not have produced it. Status 421 always
 * counts as not run; the others of `NOT_RUN_STATUSES` only if the server states it itself, since otherwise
 * the request may have run.
 */
export function classifyResponse(
  response: ResponseHead,
  request: AttemptedRequest,
): ResponseVerdict {
  const { status, requestId, hasProof, isNotRun, isEncoded } = response;
  if ((requestId ?? '') !== request.requestId) return 'foreign';
  if (isNotRun || status === MISDIRECTED_STATUS) return 'not-run';
  if (status < FIRST_REDIRECT_STATUS && (!hasProof || isEncoded)) return 'foreign';
  const isNotRunStatus = NOT_RUN_STATUSES.has(status);
  if (status < FIRST_SERVER_ERROR_STATUS && !isNotRunStatus) return 'pass-on';
  // This attempt may have run as well.
  if (mayRunAgain({ ...request, mayHaveRunCount: request.mayHaveRunCount + 1 })) return 'failed';
  return isNotRunStatus ? 'unknown' : 'pass-on';
}
