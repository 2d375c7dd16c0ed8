import type { CallerRequest, EarlyRequest } from '../../proxy/mod.ts';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { selectTarget } from '../../core/serving/mod.ts';
import type { Deployment, Route } from '../../core/serving/mod.ts';
import type { CallerIdentity } from '../../core/tenants/mod.ts';
import { decodeRequestHeaders } from '../../platform/mod.ts';
import type { RequestHeaders } from '../../platform/mod.ts';
import type { CallerGate } from './_callerGate.ts';
import { describeArrival } from './_describeRequest.ts';
import { openRequest } from './_openRequest.ts';
import type { OpenRequest } from './_openRequest.ts';
import type { RequestEndings } from './_requestEndings.ts';
import { respondLocally } from './_respondLocally.ts';
import { jitterRetryAfter, retryDelayMs } from './_retryAfter.ts';
import type { RetryReason } from './_retryAfter.ts';
import type { StartupHold } from './_startupHold.ts';

/** Options of `RequestAcceptance`. */
export type RequestAcceptanceOptions = {
  readonly clock: Clock;
  /** Returns a random number from 0 to 1; adds jitter to `Retry-After`. */
  readonly random: () => number;
  readonly hold: StartupHold;
  readonly callers: CallerGate;
  readonly endings: RequestEndings;
  /** Returns the deployment in force. */
  readonly deployment: () => Deployment | undefined;
  /** Whether all further requests are refused. */
  readonly isRefusing: () => boolean;
  /** Whether requests can be served. */
  readonly isReady: () => boolean;
  /** Called with each accepted request before anything can end it. */
  readonly onAccepted: (request: OpenRequest) => void;
  /** Chooses a server for a request and sends it. */
  readonly dispatch: (request: OpenRequest) => void;
};

/** Accepts callers' requests: finds the route and the caller, or responds at once. */
export class RequestAcceptance {
  readonly #options: RequestAcceptanceOptions;

  constructor(options: RequestAcceptanceOptions) {
    this.#options = options;
  }

  /** Accepts a request. Shortly after the start, holds it until servers are known. */
  handle(caller: CallerRequest): void {
    const acceptedAt = this.#options.clock.now() - caller.arrival.waitedMs;
    if (this.#canAccept) {
      this.#accept(caller, acceptedAt);
      return;
    }
    this.#options.hold.holdUntil({
      canAccept: () => this.#canAccept,
      onDisconnect: (run) => caller.response.onDisconnect(run),
      onGone: () => this.noteCallerGone(caller),
      accept: () => this.#accept(caller, acceptedAt),
    });
  }

  /**
   * Responds to a request by its headers alone if its caller is not admitted, before the body has arrived.
   * Returns whether it has responded; never does so where there are no tenants.
   */
  rejectEarly(caller: EarlyRequest): boolean {
    const deployment = this.#options.deployment();
    if (deployment?.tenantsByKey === undefined || this.#options.isRefusing()) return false;
    if (!this.#canAccept) return false;
    const head = decodeRequestHeaders(caller.headers);
    const target = selectTarget(deployment, head, caller.path);
    return target !== undefined && this.#identify(caller, head, target.route) === undefined;
  }

  /** Records a request whose caller left before it could be handled. */
  noteCallerGone(caller: CallerRequest): void {
    const { requestId } = decodeRequestHeaders(caller.headers);
    this.#options.endings.noteGoneUnhandled(requestId, describeArrival(caller.arrival));
  }

  /** Whether requests are no longer held: ready, refusing, or past the startup hold. */
  get #canAccept(): boolean {
    const { isReady, isRefusing, hold } = this.#options;
    return isReady() || isRefusing() || !hold.isActive;
  }

  #accept(caller: CallerRequest, acceptedAt: Milliseconds): void {
    const { clock, endings } = this.#options;
    const head = decodeRequestHeaders(caller.headers);
    const deployment = this.#options.deployment();
    const isLeaving = this.#options.isRefusing();
    if (deployment === undefined || isLeaving) {
      this.#respondRefused(caller, head.deadlineMs, isLeaving ? 'leaving' : 'starting');
      endings.logEnd(head.requestId, 'starting', { isLeaving });
      return;
    }
    const target = selectTarget(deployment, head, caller.path);
    if (target === undefined) {
      respondLocally(caller, 'no-route');
      endings.logEnd(head.requestId, 'no-route', { version: deployment.version });
      return;
    }
    const identity = this.#identify(caller, head, target.route);
    if (identity === undefined) return;
    const request = openRequest({ caller, head, ...target, acceptedAt, identity });
    this.#options.onAccepted(request);
    request.timers.push(
      clock.schedule(request.deadlineAt - clock.now(), () => endings.expire(request)),
    );
    caller.response.onDisconnect(() => endings.finish(request, 'caller-gone'));
    this.#options.dispatch(request);
  }

  /** Identifies the caller of a request; if it is not admitted, responds and returns `undefined`. */
  #identify(
    caller: Pick<CallerRequest, 'response'>,
    head: RequestHeaders,
    route: Route,
  ): CallerIdentity | undefined {
    const { callers, deployment, endings } = this.#options;
    const identity = callers.identify(route, head);
    const fields = {
      route: route.name,
      version: deployment()?.version,
      ...callers.describeAge(),
    };
    if (identity.kind === 'unauthorized') {
      respondLocally(caller, 'unauthorized');
      endings.logEnd(head.requestId, 'unauthorized', { keys: head.keys.length, ...fields });
      return undefined;
    }
    if (identity.kind === 'stale') {
      this.#respondRefused(caller, head.deadlineMs, 'stale');
      endings.logEnd(head.requestId, 'refused', { reason: 'stale-configuration', ...fields });
      return undefined;
    }
    return identity;
  }

  #respondRefused(
    caller: Pick<CallerRequest, 'response'>,
    deadlineMs: Milliseconds | undefined,
    reason: RetryReason,
  ): void {
    const { random } = this.#options;
    respondLocally(caller, 'refused', jitterRetryAfter(retryDelayMs(reason), deadlineMs, random));
  }
}
