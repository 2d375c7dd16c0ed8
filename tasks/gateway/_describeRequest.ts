import type { Milliseconds } from '../../core/clock/mod.ts';
import type { AttemptOutcome, ServerChoice, ServerView } from '../../core/dispatch/mod.ts';
import type { Deployment } from '../../core/serving/mod.ts';
import type { LogFields } from '../../log/mod.ts';
import type { RequestArrival } from '../../http/mod.ts';
import { tenantOf } from './_openRequest.ts';
import type { OpenRequest } from './_openRequest.ts';
import type { LostRequest, ServerEnd } from './_serverEnds.ts';

/** Lost requests that the log line of a server's end lists, at most. */
const MAX_LISTED_REQUESTS = 24;

/** Formats how many servers a choice passes over, by reason; `undefined` for none. */
function formatBlocks(blocks: ReadonlyMap<string, number>): string | undefined {
  if (blocks.size === 0) return undefined;
  return [...blocks].map(([reason, count]) => `${reason}=${count}`).join(' ');
}

/** Returns the log fields of a routing decision: the choice, its inputs and their age. */
export function describeChoice(
  request: OpenRequest,
  choice: ServerChoice,
  context: {
    readonly now: Milliseconds;
    readonly deployment: Deployment | undefined;
    /** How many servers are passed over, by reason. */
    readonly blocks: ReadonlyMap<string, number>;
  },
): LogFields {
  const { now, deployment, blocks } = context;
  const view = 'view' in choice ? choice.view : undefined;
  const keeperReceivedAt = view?.keeper?.receivedAt;
  return {
    request: request.head.requestId,
    tenant: tenantOf(request)?.name,
    choice: choice.kind,
    reason: 'reason' in choice ? choice.reason : undefined,
    server: view?.server.id,
    softwareVersion: view?.server.softwareVersion,
    resumes: request.head.resumes,
    adapter: request.head.modelName,
    promptTokens: request.head.promptTokens,
    load: view?.load,
    pauseMs: view === undefined ? undefined : Math.round(view.pauseMs(now)),
    usualPauseMs: view === undefined ? undefined : Math.round(view.usualPauseMs),
    passedOver: formatBlocks(blocks),
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
    tenant: tenantOf(request)?.name,
    adapter: request.head.modelName,
    server: request.view?.server.id,
    tookMs: Math.round(tookMs),
    ...describeArrival(request.caller.arrival),
    sentAfterMs: request.sentAt === 0 ? undefined : Math.round(request.sentAt - request.acceptedAt),
    unreadMs: request.unreadMs === undefined ? undefined : Math.round(request.unreadMs),
    firstByteMs: request.firstByteMs === undefined ? undefined : Math.round(request.firstByteMs),
    longestPauseMs: Math.round(request.longestPauseMs),
    isFramed: request.isResponseFramed,
    mayHaveRun: request.mayHaveRunCount,
    notRun: request.notRunCount,
    version: deployment?.version,
  };
}

/** Describes a request whose connection to its server was lost just now. */
export function describeLost(request: OpenRequest, now: Milliseconds): LostRequest {
  const { head, route, traits, sentAt, writingSince } = request;
  return {
    requestId: head.requestId,
    route: route.name,
    adapter: head.modelName,
    promptParts: head.promptParts,
    traits,
    requestTrait: request.requestTrait(),
    sentMs: now - sentAt,
    writingMs: writingSince === undefined ? undefined : now - writingSince,
  };
}

/** Describes a lost request in one word: `ID,ROUTE,ADAPTER,PARTS,sent=MS,writing=MS,request:DIGEST`. */
function formatLost(lost: LostRequest): string {
  const parts = lost.promptParts.join('+');
  const sent = `sent=${Math.round(lost.sentMs)}`;
  const writing =
    lost.writingMs === undefined ? 'writing=no' : `writing=${Math.round(lost.writingMs)}`;
  const { requestId, route, adapter = '-', requestTrait } = lost;
  return [requestId, route, adapter, parts, sent, writing, requestTrait].join(',');
}

/** Returns the log fields of a server's end: when it was and what ran there. */
export function describeServerEnd(end: ServerEnd, now: Milliseconds): LogFields {
  const { server, requests } = end;
  return {
    server: server.id,
    address: server.address,
    service: server.service,
    agoMs: Math.round(now - end.at),
    requests: requests.length,
    lost: requests.slice(0, MAX_LISTED_REQUESTS).map(formatLost).join(' '),
  };
}

/** Returns the log fields of an attempt that has ended without a complete response; `view` is its server. */
export function describeSendingEnd(
  { head, sentAt }: OpenRequest,
  view: ServerView | undefined,
  ended: { readonly outcome: AttemptOutcome; readonly detail: string; readonly now: Milliseconds },
): LogFields {
  return {
    request: head.requestId,
    server: view?.server.id,
    end: ended.outcome,
    detail: ended.detail,
    tookMs: Math.round(ended.now - sentAt),
  };
}
