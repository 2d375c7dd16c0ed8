import type { CallerRequest, RequestHandle } from '../../proxy/mod.ts';
import type { Cancellation, Milliseconds } from '../../core/clock/mod.ts';
import type { ServerView } from '../../core/dispatch/mod.ts';
import type { ResumableEventBuffer } from '../../core/streams/mod.ts';
import type { Route, Service } from '../../core/serving/mod.ts';
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
  /** Splits a resumable stream into events, so that another server can continue it. */
  readonly eventBuffer: ResumableEventBuffer | undefined;
  /** Ids of the servers that failed or refused this request. */
  readonly triedServerIds: Set<string>;
  /** Number of attempts that a server may have run. */
  mayHaveRunCount: number;
  /** Number of attempts that no server ran. */
  notRunCount: number;
  /** The server that processes the request or loads an adapter for it. */
  view: ServerView | undefined;
  attempt: RequestHandle | undefined;
  /** Increases when an attempt starts or fails; events of earlier attempts are ignored. */
  attemptEpoch: number;
  /** When the current attempt was sent. */
  sentAt: Milliseconds;
  /** Time from accepting the request to the first byte of the response body; `undefined` before. */
  firstByteMs: Milliseconds | undefined;
  lastChunkAt: Milliseconds;
  /** Longest time between two chunks of the response body. */
  longestPauseMs: Milliseconds;
  /** Whether the current attempt has been sent and its response has not started. */
  isAwaitingFirstByte: boolean;
  /** Whether the request waits for the server in `view` to load its adapter. */
  isAwaitingAdapter: boolean;
  isFinished: boolean;
  timers: Cancellation[];
};

/** How a request ended, as logged and as the label of the request counter. */
export type RequestEnd =
  'answered' | 'refused' | 'unknown' | 'broken-off' | 'caller-gone' | 'no-route' | 'starting';
