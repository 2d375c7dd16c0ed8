import type { Clock } from '../../core/clock/mod.ts';
import { MISDIRECTED_STATUS, nextStep } from '../../core/dispatch/mod.ts';
import type { AttemptOutcome, ServerView } from '../../core/dispatch/mod.ts';
import type { BackendServer } from '../../core/serving/mod.ts';
import type { SocketReads } from '../../http/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import type { AdmissionQueue } from './_admissionQueue.ts';
import type { AdapterVersions } from './_adapterVersions.ts';
import { scheduleAttemptTimeout } from './_attemptTimeout.ts';
import type { CallerGate } from './_callerGate.ts';
import type { CrashGuard } from './_crashGuard.ts';
import { describeLost, describeSendingEnd } from './_describeRequest.ts';
import { clearAwaitingFirstByte, forwardResponse } from './_forwardResponse.ts';
import type { OpenRequest } from './_openRequest.ts';
import { outboundRequest } from './_outboundRequest.ts';
import type { RequestEndings } from './_requestEndings.ts';
import type { RetryBudgets } from './_retryBudgets.ts';
import type { ServerAccess } from './_serverAccess.ts';
import type { ServerConnections } from './_serverEnds.ts';
import type { ServerHealth } from './_serverHealth.ts';
import type { ServerLimits } from './_serverLimits.ts';
import type { ServerNotices } from './_serverNotices.ts';
import type { ServerRooms } from './_serverRooms.ts';
import type { ServerTable } from './_serverTable.ts';
import type { StreamVersions } from './_streamVersions.ts';
import type { TokenLimitGate } from './_tokenLimitGate.ts';

/** Options of `Attempts`. */
export type AttemptsOptions = {
  readonly clock: Clock;
  /** Tells how long ago the callers' sockets were read. @default they always have just been read */
  readonly socketReads?: SocketReads;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly access: ServerAccess;
  readonly adapterVersions: AdapterVersions;
  readonly admission: AdmissionQueue;
  readonly callers: CallerGate;
  readonly endings: RequestEndings;
  readonly guard: CrashGuard;
  readonly health: ServerHealth;
  readonly limits: ServerLimits;
  readonly notices: ServerNotices;
  readonly retryBudgets: RetryBudgets;
  readonly rooms: ServerRooms;
  readonly streamVersions: StreamVersions;
  readonly table: ServerTable;
  readonly tokenLimits: TokenLimitGate;
  /** Chooses a server for a request and sends it. */
  readonly dispatch: (request: OpenRequest) => void;
};

/** Sends requests to backend servers, forwards their responses, and retries. */
export class Attempts {
  readonly #options: AttemptsOptions;

  constructor(options: AttemptsOptions) {
    this.#options = options;
  }

  /** Sends a request to a server, if caller and server are still admitted. */
  send(request: OpenRequest, view: ServerView): void {
    const { access, adapterVersions, admission, callers, clock, dispatch, endings } = this.#options;
    const { guard, health, limits, notices, rooms, streamVersions, table, tokenLimits } =
      this.#options;
    if (!callers.isAdmitted(request)) return;
    if (access.blockOf(view, request) !== undefined) {
      dispatch(request);
      return;
    }
    const { head, caller } = request;
    const { server } = view;
    const now = clock.now();
    request.view = view;
    request.isAwaitingAdapter = false;
    request.attemptEpoch += 1;
    request.sentAt = now;
    request.writingSince = undefined;
    request.isProvenSound = false;
    request.wasPaused = false;
    guard.noteSent(request);
    limits.noteSent(server.id);
    rooms.noteSent(request, view);
    tokenLimits.noteSent(request);
    notices.noteSent(server);
    request.isAwaitingFirstByte = true;
    view.awaitingFirstByte += 1;
    table.noteSent(view, head.modelName);
    admission.noteSent(request, view);
    const connections = table.connectionsOf(server);
    request.attempt = connections.send(
      {
        ...outboundRequest(request, view, adapterVersions.minOf(head.modelName), now),
        onWrite: () => this.#noteUnread(request),
      },
      forwardResponse({
        request,
        clock,
        onHead: (status, response) => {
          limits.noteHead(request, status, response);
          notices.noteHead(server, now, status, response);
          if (status !== MISDIRECTED_STATUS || response.requestId !== head.requestId) return;
          if (head.modelName === undefined) return;
          view.noteMissing(head.modelName, clock.now());
        },
        onChunk: () => rooms.noteChunk(request),
        onBegun: () => streamVersions.noteBegun(request, server),
        onFirstEvent: () => admission.noteFirstEvent(request),
        onUnreachable: () => health.noteUnreachable(server.id),
        onProvenSound: () => guard.noteSound(request),
        onComplete: () => {
          caller.response.end();
          health.noteResponse(server.id);
          guard.noteSound(request);
          endings.finish(request, 'answered');
        },
        onUnframedEnd: (onJudged) =>
          guard.noteConnectionEnd({
            server,
            connections,
            lost: undefined,
            onJudged: (hasEnded) => onJudged(this.#isTruncated(request, server, hasEnded)),
          }),
        onFailure: (outcome, detail, isConnectionLost) =>
          this.#handleFailure(request, outcome, detail, isConnectionLost ? connections : undefined),
      }),
    );
    scheduleAttemptTimeout(request, clock, (timeoutMs) =>
      this.#handleFailure(request, 'unknown', `no response within ${timeoutMs} ms`),
    );
  }

  /** Records for how long the caller's connection had not been read when its request was sent. */
  #noteUnread(request: OpenRequest): void {
    const { clock, metrics, socketReads } = this.#options;
    if (socketReads === undefined) return;
    request.unreadMs = clock.now() - socketReads.readAt;
    metrics.record('sent_unread_ms', request.unreadMs);
  }

  /** Whether a response without a length that ended with its connection was cut off by the end of its server. */
  #isTruncated(request: OpenRequest, server: BackendServer, hasEnded: boolean): boolean {
    const { notices, table } = this.#options;
    const current = table.viewOf(server.id)?.server;
    // While the response waited for the caller, the server may have ended and another one started at its address.
    if (!hasEnded) return request.wasPaused && current?.bornAt !== server.bornAt;
    // A server that leaves may accept no new connection before its last response has ended.
    const latest = current ?? server;
    const isLeaving = latest.state === 'draining' || notices.registry.isLeaving(latest);
    return !isLeaving || request.wasPaused || request.eventBuffer !== undefined;
  }

  /**
   * Retries, refuses or fails a request after an attempt without a complete response.
   *
   * @param lostConnections The connections to the server, if the one of the request was lost.
   */
  #handleFailure(
    request: OpenRequest,
    outcome: AttemptOutcome,
    detail: string,
    lostConnections?: ServerConnections,
  ): void {
    const { clock, dispatch, endings, guard, health, log, metrics, retryBudgets } = this.#options;
    const { rooms, table } = this.#options;
    const { view, head, route } = request;
    let isRetried = false;
    if (view !== undefined && lostConnections !== undefined) {
      guard.noteConnectionEnd({
        server: view.server,
        connections: lostConnections,
        lost: describeLost(request, clock.now()),
        // Not before: the caller's close may have arrived together with the failure, and a request that ends servers is not
        // sent to another.
        onJudged: () => {
          if (isRetried && !request.isFinished) dispatch(request);
        },
      });
    }
    clearAwaitingFirstByte(request);
    this.#options.admission.noteAttemptEnded(request);
    rooms.noteEnded(request, false);
    if (view !== undefined) {
      table.noteEnded(view, head.modelName);
      request.triedServerIds.add(view.server.id);
      health.noteFailure(view.server.id, outcome);
    }
    request.view = undefined;
    request.attempt = undefined;
    request.attemptEpoch += 1;
    if (outcome === 'unknown' || outcome === 'failed') request.mayHaveRunCount += 1;
    else request.notRunCount += 1;
    metrics.count('sendings_ended_total', { end: outcome });
    log('sendingEnded', describeSendingEnd(request, view, { outcome, detail, now: clock.now() }));
    request.eventBuffer?.discardPartial();
    if (request.caller.response.hasBegun() && request.eventBuffer === undefined) {
      endings.abortResponse(request);
      return;
    }
    const step = nextStep(outcome, {
      repeatability: route.repeatability,
      mayHaveRunCount: request.mayHaveRunCount,
      notRunCount: request.notRunCount,
      maxAttempts: route.maxAttempts,
      isPastDeadline: clock.now() >= request.deadlineAt,
    });
    const isFree = outcome === 'not-sent';
    isRetried = step === 'again' && (isFree || retryBudgets.of(request.service.name).tryRetry());
    if (!isRetried) endings.giveUp(request, step === 'again' ? 'retry-budget' : outcome);
    else if (lostConnections === undefined) {
      request.timers.push(clock.schedule(0, () => dispatch(request)));
    }
  }
}
