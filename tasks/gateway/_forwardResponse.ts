import { ConnectionsExhaustedError } from '../../proxy/mod.ts';
import type { ResponseEvents } from '../../proxy/mod.ts';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { classifyResponse } from '../../core/dispatch/mod.ts';
import type { ResponseVerdict, AttemptOutcome } from '../../core/dispatch/mod.ts';
import { EventBoundary } from '../../core/streams/mod.ts';
import { decodeResponseHeaders } from '../../platform/mod.ts';
import type { ResponseHeaders } from '../../platform/mod.ts';
import type { OpenRequest } from './_openRequest.ts';

const OK_STATUS = 200;

/** Options of `forwardResponse`. */
export type ForwardResponseOptions = {
  readonly request: OpenRequest;
  readonly clock: Clock;
  /** Called with the head of each response, before it is classified. */
  readonly onHead: (status: number, response: ResponseHeaders) => void;
  /** Called with each chunk of a response that is forwarded. */
  readonly onChunk: () => void;
  /** Called before the response of the attempt begins to reach the caller. */
  readonly onBegun: () => void;
  /** Called with the first bytes of the response body. */
  readonly onFirstEvent: () => void;
  /** Called before `onFailure` when no connection to the server could be opened. */
  readonly onUnreachable: () => void;
  /** Called once the response has been written for some time without crashing its server. */
  readonly onProvenSound: () => void;
  /** Called once the complete response has been forwarded. */
  readonly onComplete: () => void;
  /**
   * Called when a response without framing has ended with its connection. Then either `onComplete` or `onFailure` follows
   * when `onJudged` is called with whether its server ended before the response did.
   */
  readonly onUnframedEnd: (onJudged: (isTruncated: boolean) => void) => void;
  /**
   * Called when the attempt yields no complete response; `isConnectionLost` tells that the connection ended
   * after the request had been sent.
   */
  readonly onFailure: (outcome: AttemptOutcome, detail: string, isConnectionLost: boolean) => void;
};

/** Time of writing after which a response no longer counts as about to crash its server. */
const PROVEN_SOUND_MS: Milliseconds = 500;

/** Largest event of a resumable stream, which is kept until it is complete. */
const MAX_EVENT_BYTES = 1_048_576;

/** Bytes of a body that is not forwarded; it is read only so that its connection can be used again. */
const MAX_DISCARDED_BYTES = 65_536;

/** Statuses of responses that never have a body. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

function hasNoBody(method: string, status: number): boolean {
  return method === 'HEAD' || BODYLESS_STATUSES.has(status);
}

/** Records that the current attempt no longer waits for a response: it has started or will not. */
export function clearAwaitingFirstByte(request: OpenRequest): void {
  if (!request.isAwaitingFirstByte) return;
  request.isAwaitingFirstByte = false;
  if (request.view !== undefined) request.view.awaitingFirstByte -= 1;
}

function recordChunk(request: OpenRequest, now: Milliseconds): void {
  if (request.firstByteMs === undefined) {
    request.firstByteMs = now - request.acceptedAt;
  } else {
    const pauseMs = now - request.lastChunkAt;
    request.longestPauseMs = Math.max(request.longestPauseMs, pauseMs);
    if (request.route.isStream) request.view?.notePause(pauseMs, now);
  }
  request.lastChunkAt = now;
  request.writingSince ??= now;
}

function classifyHead(
  request: OpenRequest,
  status: number,
  response: ResponseHeaders,
): ResponseVerdict {
  const { head, route, mayHaveRunCount } = request;
  const { repeatability, maxAttempts } = route;
  const verdict = classifyResponse(
    { ...response, status },
    { requestId: head.requestId, repeatability, mayHaveRunCount, maxAttempts },
  );
  // A stream that has started can only be continued by a 200 response.
  const isResuming = request.caller.response.hasBegun();
  return verdict === 'pass-on' && isResuming && status !== OK_STATUS ? 'failed' : verdict;
}

/**
 * Returns the handlers that forward the response of one attempt to the caller.
 *
 * Events are ignored once the request has ended or a newer attempt has started.
 */
export function forwardResponse(options: ForwardResponseOptions): ResponseEvents {
  const { request, clock, onFailure } = options;
  const { caller, attemptEpoch } = request;
  const isCurrent = (): boolean => !request.isFinished && request.attemptEpoch === attemptEpoch;
  /** Outcome of the attempt by its response head, if the body must not be forwarded. */
  let failure: AttemptOutcome | undefined;
  let isFramed = true;
  let isOk = false;
  let discardedBytes = 0;
  const boundary = new EventBoundary();

  /** Ends an attempt whose response goes on without end. */
  function giveUp(outcome: AttemptOutcome, detail: string): boolean {
    request.attempt?.abort();
    onFailure(outcome, detail, false);
    return false;
  }

  function hasEndedInsideEvent(): boolean {
    if (request.eventBuffer?.hasPartial) return true;
    return isOk && !isFramed && request.route.isStream && !boundary.isBetweenEvents;
  }

  /** Completes a response that ended with its connection, unless it is truncated. */
  function completeUnlessTruncated(isTruncated: boolean): void {
    if (!isCurrent()) return;
    if (isTruncated) onFailure('unknown', 'the server ended with its response', false);
    else options.onComplete();
  }

  function startResponse(status: number, statusText: string, response: ResponseHeaders): void {
    request.view?.noteFirstByte(clock.now() - request.sentAt);
    clearAwaitingFirstByte(request);
    request.isResponseFramed = isFramed;
    // A resumed stream keeps the head and the proof of its first server.
    if (caller.response.hasBegun()) return;
    if (isOk) options.onBegun();
    const { forwardedHeaders } = response;
    caller.response.begin({ status, statusText, headers: forwardedHeaders });
  }

  return {
    head: (status, headers, statusText) => {
      if (!isCurrent()) return false;
      const response = decodeResponseHeaders(headers);
      isFramed = response.isFramed || hasNoBody(caller.method, status);
      isOk = status === OK_STATUS;
      options.onHead(status, response);
      const verdict = classifyHead(request, status, response);
      if (verdict === 'foreign') {
        onFailure(
          'unknown',
          `foreign response: other request id, no proof or encoded body; status ${status}`,
          false,
        );
        return false;
      }
      if (verdict === 'pass-on') startResponse(status, statusText, response);
      else failure = verdict;
      return true;
    },
    data: (chunk) => {
      if (!isCurrent()) return true;
      if (failure !== undefined) {
        discardedBytes += chunk.length;
        return discardedBytes <= MAX_DISCARDED_BYTES || giveUp(failure, 'the body has no end');
      }
      if (request.writingSince === undefined) options.onFirstEvent();
      recordChunk(request, clock.now());
      options.onChunk();
      if (!request.isProvenSound && clock.now() - request.writingSince! >= PROVEN_SOUND_MS) {
        request.isProvenSound = true;
        options.onProvenSound();
      }
      boundary.push(chunk);
      const completeEvents = request.eventBuffer?.push(chunk) ?? chunk;
      if ((request.eventBuffer?.partialBytes ?? 0) > MAX_EVENT_BYTES) {
        return giveUp('unknown', 'an event has no end');
      }
      if (completeEvents.length === 0) return true;
      const canTakeMore = caller.response.write(completeEvents);
      if (!canTakeMore) {
        request.wasPaused = true;
        caller.response.onDrain(() => request.attempt?.resume());
      }
      return canTakeMore;
    },
    end: () => {
      if (!isCurrent()) return;
      if (failure !== undefined) onFailure(failure, 'reported by the response head', false);
      else if (hasEndedInsideEvent()) {
        onFailure('unknown', 'the stream ended mid-event', true);
      } else if (isFramed) options.onComplete();
      else options.onUnframedEnd(completeUnlessTruncated);
    },
    failed: (error, wasSent) => {
      if (!isCurrent()) return;
      if (!wasSent && !(error instanceof ConnectionsExhaustedError)) options.onUnreachable();
      onFailure(failure ?? (wasSent ? 'unknown' : 'not-sent'), String(error), wasSent);
    },
  };
}
