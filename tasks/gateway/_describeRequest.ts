import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Choice } from '../../core/dispatch/mod.ts';
import type { Deployment } from '../../core/serving/mod.ts';
import type { LogFields } from '../../log/mod.ts';
import type { OpenRequest } from './_openRequest.ts';

/** Describes where a request goes, with what the choice was based on and how old that was. */
export function describeChoice(
  request: OpenRequest,
  choice: Choice,
  now: Milliseconds,
  deployment: Deployment | undefined,
): LogFields {
  const view = choice.kind === 'refuse' ? undefined : choice.view;
  const heardAt = view?.keeper?.receivedAt;
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
    keeperAgeMs: heardAt === undefined ? undefined : Math.round(now - heardAt),
    leftMs: Math.round(request.dueAt - now),
    version: deployment?.version,
  };
}

/** Describes how a request went. */
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
    firstByteMs: request.firstByteMs === undefined ? undefined : Math.round(request.firstByteMs),
    longestPauseMs: Math.round(request.longestPauseMs),
    mayHaveRun: request.mayHaveRun,
    notRun: request.notRun,
    version: deployment?.version,
  };
}
