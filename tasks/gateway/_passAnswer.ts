import type { AnswerEvents } from '../../carriage/mod.ts';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { judgeAnswer } from '../../core/dispatch/mod.ts';
import type { AnswerVerdict, SendingEnd } from '../../core/dispatch/mod.ts';
import { decodeAnswerHead } from '../../platform/mod.ts';
import type { AnswerHead } from '../../platform/mod.ts';
import type { OpenRequest } from './_openRequest.ts';

const OK_STATUS = 200;

/** How to pass the answer of one sending on. */
export type PassAnswerOptions = {
  readonly request: OpenRequest;
  readonly clock: Clock;
  /** Told of the head of an answer, whatever it means. */
  readonly answered: (status: number) => void;
  /** Told once the whole answer has been passed on. */
  readonly passed: () => void;
  /** Told when the sending brought no whole answer. */
  readonly finished: (end: SendingEnd, detail: string) => void;
};

/** Notes that a server has begun to answer, or that it will not. */
export function noteBegun(request: OpenRequest): void {
  if (!request.isStarting) return;
  request.isStarting = false;
  if (request.view !== undefined) request.view.starting -= 1;
}

function notePiece(request: OpenRequest, now: Milliseconds): void {
  if (request.firstByteMs === undefined) {
    request.firstByteMs = now - request.acceptedAt;
  } else {
    const pauseMs = now - request.pieceAt;
    request.longestPauseMs = Math.max(request.longestPauseMs, pauseMs);
    if (request.route.isStream) request.view?.notePause(pauseMs, now);
  }
  request.pieceAt = now;
}

function judge(request: OpenRequest, status: number, answer: AnswerHead): AnswerVerdict {
  const { head, route, mayHaveRun } = request;
  const { repeatability, maxAttempts } = route;
  const verdict = judgeAnswer(
    { ...answer, status },
    { requestId: head.requestId, repeatability, mayHaveRun, maxAttempts },
  );
  // Only a success can go on with a stream that has begun.
  const goesOn = request.caller.answer.hasBegun();
  return verdict === 'pass-on' && goesOn && status !== OK_STATUS ? 'failed' : verdict;
}

/**
 * Returns the events of one sending, which pass its answer on to the caller.
 *
 * Events that come after the request has ended, or has been sent anew, change nothing.
 */
export function passAnswer(options: PassAnswerOptions): AnswerEvents {
  const { request, clock, finished } = options;
  const { caller, sendingNumber } = request;
  const isCurrent = (): boolean => !request.isOver && request.sendingNumber === sendingNumber;
  /** What the answer's head meant, once it is there and its body is not passed on. */
  let dropped: SendingEnd | undefined;

  function begin(status: number, statusText: string, answer: AnswerHead): void {
    request.view?.noteFirstByte(clock.now() - request.sentAt);
    noteBegun(request);
    // A stream that goes on keeps the head and the proof of its first server.
    if (caller.answer.hasBegun()) return;
    const { passedOn, isFramed } = answer;
    caller.answer.begin({ status, statusText, headers: passedOn, isFramed });
  }

  return {
    head: (status, headers, statusText) => {
      if (!isCurrent()) return false;
      const answer = decodeAnswerHead(headers);
      options.answered(status);
      const verdict = judge(request, status, answer);
      if (verdict === 'foreign') {
        finished('unknown', `answer of another request, status ${status}`);
        return false;
      }
      if (verdict === 'pass-on') begin(status, statusText, answer);
      else dropped = verdict;
      return true;
    },
    data: (piece) => {
      if (!isCurrent() || dropped !== undefined) return true;
      notePiece(request, clock.now());
      const whole = request.cutter?.push(piece) ?? piece;
      if (whole.length === 0) return true;
      const takesMore = caller.answer.write(whole);
      if (!takesMore) caller.answer.onDrain(() => request.sending?.resume());
      return takesMore;
    },
    end: () => {
      if (!isCurrent()) return;
      if (dropped !== undefined) finished(dropped, 'the server said so');
      else if (request.cutter?.hasRest) finished('unknown', 'the stream ended within an event');
      else options.passed();
    },
    failed: (error, wasSent) => {
      if (isCurrent()) finished(dropped ?? (wasSent ? 'unknown' : 'not-sent'), String(error));
    },
  };
}
