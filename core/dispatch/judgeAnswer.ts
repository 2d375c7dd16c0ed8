import { mayRunAgain } from './mayRunAgain.ts';
import type { RunCount } from './mayRunAgain.ts';
import type { SendingEnd } from './nextStep.ts';

/** What the head of a backend server's answer says. */
export type AnswerSigns = {
  readonly status: number;
  /** The request that the answer names; absent where it names none. */
  readonly requestId?: string;
  /** Whether the answer bears a backend server's proof. */
  readonly hasProof: boolean;
  /** Whether the backend server says that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the body is encoded, which was not asked for. */
  readonly isEncoded: boolean;
};

/** The request that waits for the answer; its sendings before this one are counted. */
export type AnsweredRequest = RunCount & { readonly requestId: string };

/** What an answer means: it is passed on, it is not the request's own, or the sending ended so. */
export type AnswerVerdict = 'pass-on' | 'foreign' | SendingEnd;

/** Statuses that promise that a request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** The status of a server that is not the one meant, or that lacks what is asked for. */
export const MISDIRECTED_STATUS = 421;

const FIRST_REDIRECT_STATUS = 300;

const FIRST_SERVER_ERROR_STATUS = 500;

/**
 * Judges an answer by its head, before anything of it is passed on.
 *
 * A success without a server's proof is nobody's answer. A status that promises "not run" is passed on
 * only as the server's own word; without it, the request may have run.
 */
export function judgeAnswer(answer: AnswerSigns, request: AnsweredRequest): AnswerVerdict {
  const { status, requestId, hasProof, isNotRun, isEncoded } = answer;
  if (requestId !== undefined && requestId !== request.requestId) return 'foreign';
  if (isNotRun || status === MISDIRECTED_STATUS) return 'not-run';
  if (status < FIRST_REDIRECT_STATUS && (!hasProof || isEncoded)) return 'foreign';
  const isPromise = NOT_RUN_STATUSES.has(status);
  if (status < FIRST_SERVER_ERROR_STATUS && !isPromise) return 'pass-on';
  // This sending is one that may have run as well.
  if (mayRunAgain({ ...request, mayHaveRun: request.mayHaveRun + 1 })) return 'failed';
  return isPromise ? 'unknown' : 'pass-on';
}
