import type { Milliseconds } from '../../core/clock/mod.ts';
import type { ServerChoice } from '../../core/dispatch/mod.ts';
import type { Deployment } from '../../core/serving/mod.ts';
import type { LogFields } from '../../log/mod.ts';
import type { RequestArrival } from '../../http/mod.ts';
import type { OpenRequest } from './_openRequest.ts';

/** Returns the log fields of a routing decision: the choice, its inputs and their age. */
export function describeChoice(
  request: OpenRequest,
  choice: ServerChoice,
  now: Milliseconds,
  deployment: Deployment | undefined,
): LogFields {
  const view = choice.kind === 'refuse' ? undefined : choice.view;
  const keeperReceivedAt = view?.keeper?.receivedAt;
  return {
    request: request.head.requestId,
    choice: choice.kind,
    reason: choice.kind === 'refuse' ? choice.reason : undefined,
    server: view?.server.id,
    adapter: request.head.modelName,
    promptTokens: request.head.promptTokens,
    load: view?.load,
    pauseMs: view === undefined ? undefined : Math.round(view.pauseMs(now)),
    usualPauseMs: view === undefined ? undefined : Math.round(view.usualPauseMs),
    awaited: view?.keeper?.awaited,
    keeperAgeMs: keeperReceivedAt === undefined ? undefined : Math.round(now - keeperReceivedAt),
    leftMs: Math.round(request.deadlineAt - now),
    version: deployment?.version,
  };
}

/** Returns the log fields that tell where a request may have waited before it was handled. */
export function describeArrival(arrival: RequestArrival): LogFields {
  return {
    connectionAgeMs: Math.round(arrival.connectionAgeMs),
    connectionRequests: arrival.connectionRequests,
    acceptRun: arrival.acceptRun,
    turnMs: Math.round(arrival.turnMs),
    waitedMs: Math.round(arrival.waitedMs),
  };
}

/** Returns the log fields of a request that has ended. */
export function describeEnd(
  request: OpenRequest,
  tookMs: Milliseconds,
  deployment: Deployment | undefined,
): LogFields {
  return {
    route: request.route.name,
    adapter: request.head.modelName,
    server: request.view?.server.id,
    tookMs: Math.round(tookMs),
    ...describeArrival(request.caller.arrival),
    sentAfterMs: request.sentAt === 0 ? undefined : Math.round(request.sentAt - request.acceptedAt),
    firstByteMs: request.firstByteMs === undefined ? undefined : Math.round(request.firstByteMs),
    longestPauseMs: Math.round(request.longestPauseMs),
    mayHaveRun: request.mayHaveRunCount,
    notRun: request.notRunCount,
    version: deployment?.version,
  };
}
