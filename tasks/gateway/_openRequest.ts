import type { CallerRequest, RequestHandle } from '../../proxy/mod.ts';
import type { Cancellation, Milliseconds } from '../../core/clock/mod.ts';
import type { ServerView } from '../../core/dispatch/mod.ts';
import { ResumableEventBuffer } from '../../core/streams/mod.ts';
import { requestTrait, traitsOf } from '../../core/quarantine/mod.ts';
import type { RequestIdentity, Trait } from '../../core/quarantine/mod.ts';
import { withoutKey } from '../../core/serving/mod.ts';
import type { Route, Service, Tenant } from '../../core/serving/mod.ts';
import type { CallerIdentity } from '../../core/tenants/mod.ts';
import type { RequestHeaders } from '../../platform/mod.ts';

/** State of a request that has no final response yet. */
export type OpenRequest = {
  readonly caller: CallerRequest;
  readonly head: RequestHeaders;
  readonly route: Route;
  readonly service: Service;
  readonly acceptedAt: Milliseconds;
  /** When the final response must be sent. */
  readonly deadlineAt: Milliseconds;
  /** What it may share with requests that crash servers. */
  readonly traits: readonly Trait[];
  /** Returns what it shares only with the same request that comes again; computed when first needed. */
  readonly requestTrait: () => Trait;
  /** Who sent it, as of its last sending. */
  identity: CallerIdentity;
  /** Splits a resumable stream into events, so that another server can continue it. */
  readonly eventBuffer: ResumableEventBuffer | undefined;
  /** Ids of the servers that failed or refused this request. */
  readonly triedServerIds: Set<string>;
  /** Number of attempts that a server may have run. */
  mayHaveRunCount: number;
  /** Number of attempts that no server ran. */
  notRunCount: number;
  /** Software version that began its stream; only servers of this version may continue it. */
  streamVersion: string | undefined;
  /** The server that processes the request or loads an adapter for it. */
  view: ServerView | undefined;
  attempt: RequestHandle | undefined;
  /** Increases when an attempt starts or fails; events of earlier attempts are ignored. */
  attemptEpoch: number;
  /** When the current attempt was sent. */
  sentAt: Milliseconds;
  /** Time from the last read of the callers' sockets to the current attempt; `undefined` if not known. */
  unreadMs: Milliseconds | undefined;
  /** Time from accepting the request to the first byte of the response body; `undefined` before. */
  firstByteMs: Milliseconds | undefined;
  lastChunkAt: Milliseconds;
  /** Whether a length or chunks delimit the response body; `undefined` before its head. */
  isResponseFramed: boolean | undefined;
  /** When the first chunk of the current attempt arrived; `undefined` before. */
  writingSince: Milliseconds | undefined;
  /** Whether the current attempt's response has waited for the caller, so that its end may be known late. */
  wasPaused: boolean;
  /** Whether the current attempt has been writing long enough to show that it crashes no server. */
  isProvenSound: boolean;
  /** Longest time between two chunks of the response body. */
  longestPauseMs: Milliseconds;
  /** Whether the current attempt has been sent and its response has not started. */
  isAwaitingFirstByte: boolean;
  /** Whether the request waits for the server in `view` to load its adapter. */
  isAwaitingAdapter: boolean;
  /** Until when the request may wait for a server with a limit; `undefined` while it never has. */
  permitWaitUntil: Milliseconds | undefined;
  /** Whether it has been held for a moment for a permit that seemed imminent. */
  hasAwaitedPermit: boolean;
  /** Until when the request may wait for the end of a server's pause; `undefined` while it never has. */
  pauseWaitUntil: Milliseconds | undefined;
  isFinished: boolean;
  timers: Cancellation[];
};

/** What is known of a request when it is accepted. */
export type AcceptedRequest = Pick<
  OpenRequest,
  'caller' | 'head' | 'route' | 'service' | 'acceptedAt' | 'identity'
>;

/** How long before the deadline the final response is sent, so that it arrives in time. */
const RESPONSE_MARGIN_MS: Milliseconds = 25;

/** Time to the deadline of requests without a deadline header; capped by the route's timeout. */
const DEFAULT_DEADLINE_MS: Milliseconds = 30_000;

/** Returns a function that computes its value when it is first called. */
function once<Value>(compute: () => Value): () => Value {
  let computed: { readonly value: Value } | undefined;
  return () => {
    computed ??= { value: compute() };
    return computed.value;
  };
}

/** Longest wait before a request is sent, as a share of the route's latency objective. */
const MAX_WAIT_SHARE = 0.9;

/** Longest wait before a request is sent, as a share of the time to its deadline. */
const MAX_WAIT_SHARE_OF_TIME_LEFT = 0.5;

/** Returns how long a request may wait from now on before it is sent to a server. */
export function maxWaitBeforeSending(request: OpenRequest, now: Milliseconds): Milliseconds {
  const { deadlineAt, route } = request;
  const byDeadlineMs = (deadlineAt - now) * MAX_WAIT_SHARE_OF_TIME_LEFT;
  return Math.min(byDeadlineMs, route.objectiveMs * MAX_WAIT_SHARE);
}

/** Returns the tenant of a request; `undefined` on public routes and where there are no tenants. */
export function tenantOf({ identity }: Pick<OpenRequest, 'identity'>): Tenant | undefined {
  return identity.kind === 'tenant' ? identity.tenant : undefined;
}

/** Returns what requests are told apart by, without the caller's key: it is logged and sent to other entries. */
function identityOf(
  accepted: Pick<AcceptedRequest, 'caller' | 'head' | 'identity'>,
): RequestIdentity {
  const { caller, head, identity } = accepted;
  const { method, path, body } = caller;
  const { authority, credentials } = head;
  const base = { method, authority, path, credentials, body };
  if (identity.kind === 'unchecked') return base;
  const [key] = head.keys;
  return {
    ...base,
    path: withoutKey(path, key),
    credentials: credentials === undefined ? undefined : withoutKey(credentials, key),
    tenant: tenantOf(accepted)?.name,
  };
}

/** Returns the state of a request that has just been accepted. */
export function openRequest(accepted: AcceptedRequest): OpenRequest {
  const { head, route, acceptedAt } = accepted;
  const identity = identityOf(accepted);
  const timeoutMs = Math.min(head.deadlineMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs);
  return {
    ...accepted,
    deadlineAt: acceptedAt + timeoutMs - RESPONSE_MARGIN_MS,
    traits: traitsOf({ ...head, path: identity.path }),
    requestTrait: once(() => requestTrait(identity)),
    eventBuffer: route.repeatability === 'resumable' ? new ResumableEventBuffer() : undefined,
    triedServerIds: new Set(),
    mayHaveRunCount: 0,
    notRunCount: 0,
    streamVersion: undefined,
    view: undefined,
    attempt: undefined,
    attemptEpoch: 0,
    sentAt: 0,
    unreadMs: undefined,
    firstByteMs: undefined,
    lastChunkAt: 0,
    isResponseFramed: undefined,
    writingSince: undefined,
    wasPaused: false,
    isProvenSound: false,
    longestPauseMs: 0,
    isAwaitingFirstByte: false,
    isAwaitingAdapter: false,
    permitWaitUntil: undefined,
    hasAwaitedPermit: false,
    pauseWaitUntil: undefined,
    isFinished: false,
    timers: [],
  };
}

/** How a request ended, as logged and as the label of the request counter. */
export type RequestEnd =
  | 'answered'
  | 'refused'
  | 'unknown'
  | 'broken-off'
  | 'caller-gone'
  | 'no-route'
  | 'unauthorized'
  | 'limited'
  | 'starting';
