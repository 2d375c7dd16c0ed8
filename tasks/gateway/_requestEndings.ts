import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { ServerView } from '../../core/dispatch/mod.ts';
import type { Deployment } from '../../core/serving/mod.ts';
import { limitLogRate } from '../../log/mod.ts';
import type { Log, LogFields } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import { describeEnd } from './_describeRequest.ts';
import type { OpenRequest, RequestEnd } from './_openRequest.ts';
import { respondLocally } from './_respondLocally.ts';
import { jitterRetryAfter, retryDelayMs } from './_retryAfter.ts';

/** Options of `RequestEndings`. */
export type RequestEndingsOptions = {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns a random number from 0 to 1; adds jitter to `Retry-After`. */
  readonly random: () => number;
  /** Returns the deployment in force. */
  readonly deployment: () => Deployment | undefined;
  /** Returns the log fields that tell how old the configuration in force may be. */
  readonly describeConfiguration: () => LogFields;
  /** Called when a server has not responded by the deadline of its request. */
  readonly onLate: (view: ServerView) => void;
  /** Called once for each request, when it has its final response or its caller has left. */
  readonly onFinished: (request: OpenRequest, end: RequestEnd) => void;
};

/** Least time between two log lines about callers that left unhandled; writing one takes longer than noticing it. */
const GONE_LOG_INTERVAL_MS: Milliseconds = 50;

/** Ends requests with the final response that is true of them. */
export class RequestEndings {
  readonly #options: RequestEndingsOptions;

  readonly #logGone: Log;

  constructor(options: RequestEndingsOptions) {
    this.#options = options;
    this.#logGone = limitLogRate(options.log, options.clock, GONE_LOG_INTERVAL_MS);
  }

  /** Sends a request its final response, since it will not be sent to a server again. */
  giveUp(request: OpenRequest, reason: string): void {
    if (request.caller.response.hasBegun()) {
      this.abortResponse(request);
    } else if (request.mayHaveRunCount === 0 && request.attempt === undefined) {
      this.refuse(request, reason, retryDelayMs('not-run'));
    } else {
      respondLocally(request.caller, 'unknown');
      this.finish(request, 'unknown', { reason });
    }
  }

  /** Rejects a request whose key is no longer known. */
  reject(request: OpenRequest): void {
    if (request.caller.response.hasBegun() || request.mayHaveRunCount > 0) {
      this.giveUp(request, 'unauthorized');
      return;
    }
    respondLocally(request.caller, 'unauthorized');
    this.finish(request, 'unauthorized');
  }

  /**
   * Refuses a request above its tenant's limit, which has not been sent to any server.
   *
   * @param delayMs When the caller should come back.
   */
  limit(request: OpenRequest, delayMs: Milliseconds, fields: LogFields): void {
    const { clock, random } = this.#options;
    const leftMs = request.deadlineAt - clock.now();
    respondLocally(request.caller, 'limited', jitterRetryAfter(delayMs, leftMs, random));
    this.finish(request, 'limited', fields);
  }

  /** Aborts a response that has started and cannot be completed. */
  abortResponse(request: OpenRequest): void {
    request.caller.response.abort();
    this.finish(request, 'broken-off');
  }

  /** Ends a request whose deadline has passed. */
  expire(request: OpenRequest): void {
    if (request.isFinished) return;
    if (request.caller.response.hasBegun()) {
      this.abortResponse(request);
    } else if (request.mayHaveRunCount === 0 && request.attempt === undefined) {
      this.refuse(request, 'deadline', retryDelayMs('not-run'));
    } else {
      if (request.view !== undefined) this.#options.onLate(request.view);
      respondLocally(request.caller, 'late');
      this.finish(request, 'unknown');
    }
  }

  /**
   * Refuses a request, unless it may have run or its response has begun.
   *
   * @param delayMs When the caller should come back; `undefined` if nobody knows.
   * @param options.isExact Whether the delay is that caller's own turn and gets no jitter.
   */
  refuse(
    request: OpenRequest,
    reason: string,
    delayMs: Milliseconds | undefined,
    { isExact = false }: { readonly isExact?: boolean } = {},
  ): void {
    if (request.caller.response.hasBegun()) {
      this.abortResponse(request);
      return;
    }
    if (request.mayHaveRunCount > 0 && request.route.repeatability === 'once') {
      respondLocally(request.caller, 'unknown');
      this.finish(request, 'unknown', { reason });
      return;
    }
    const { clock, random } = this.#options;
    const leftMs = request.deadlineAt - clock.now();
    const retryAfterMs =
      delayMs === undefined
        ? undefined
        : jitterRetryAfter(delayMs, leftMs, isExact ? () => 0 : random);
    respondLocally(request.caller, 'refused', retryAfterMs);
    this.finish(request, 'refused', { reason });
  }

  /** Ends a request that has its final response, or whose caller has left. */
  finish(request: OpenRequest, end: RequestEnd, fields: LogFields = {}): void {
    if (request.isFinished) return;
    request.isFinished = true;
    request.timers.forEach((cancel) => cancel());
    const { clock, metrics, deployment, describeConfiguration, onFinished } = this.#options;
    onFinished(request, end);
    const tookMs = clock.now() - request.acceptedAt;
    const lateMs = clock.now() - request.deadlineAt;
    if (lateMs > 0 && end !== 'caller-gone') metrics.record('deadline_overrun_ms', lateMs);
    metrics.record('request_ms', tookMs, { route: request.route.name, end });
    this.logEnd(request.head.requestId, end, {
      ...fields,
      ...describeEnd(request, tookMs, deployment()),
      ...describeConfiguration(),
    });
  }

  /** Logs and counts the end of a request. */
  logEnd(requestId: string, end: RequestEnd, fields: LogFields): void {
    this.#options.metrics.count('requests_total', { end });
    this.#options.log('gatewayRequestEnded', { request: requestId, end, ...fields });
  }

  /** Counts a request whose caller left before it was handled, and logs it unless many do so. */
  noteGoneUnhandled(requestId: string, fields: LogFields): void {
    this.#options.metrics.count('requests_total', { end: 'caller-gone' });
    const described = { request: requestId, end: 'caller-gone', reason: 'not-handled', ...fields };
    this.#logGone('gatewayRequestEnded', described);
  }
}
