import type { CallerRequest, Sending } from '../../carriage/mod.ts';
import type { Cancellation, Milliseconds } from '../../core/clock/mod.ts';
import type { ServerView } from '../../core/dispatch/mod.ts';
import type { EventCutter } from '../../core/streams/mod.ts';
import type { Route, Service } from '../../core/serving/mod.ts';
import type { RequestHead } from '../../platform/mod.ts';

/** A request whose final answer is still owed. */
export type OpenRequest = {
  readonly caller: CallerRequest;
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: Service;
  readonly acceptedAt: Milliseconds;
  /** When the final answer is due. */
  readonly dueAt: Milliseconds;
  /** Keeps count of the events of a stream that another server may go on with. */
  readonly cutter: EventCutter | undefined;
  /** Servers that have failed or refused this request. */
  readonly tried: Set<string>;
  /** Sendings that a server may have run. */
  mayHaveRun: number;
  /** Sendings that no server ran. */
  notRun: number;
  /** The server that has the request, or that loads an adapter for it. */
  view: ServerView | undefined;
  sending: Sending | undefined;
  /** Names the sending in use; events of earlier ones are ignored. */
  sendingNumber: number;
  sentAt: Milliseconds;
  /** Time from the request to the first byte of its answer; `undefined` before. */
  firstByteMs: Milliseconds | undefined;
  pieceAt: Milliseconds;
  /** The longest time between two pieces of the answer. */
  longestPauseMs: Milliseconds;
  /** Whether the request was sent and has had no byte of its answer. */
  isStarting: boolean;
  /** Whether the request waits for an adapter at `view`. */
  isAwaiting: boolean;
  isOver: boolean;
  cancelTimers: Cancellation[];
};

/** How a request ended, as the log and the counters have it. */
export type RequestEnd =
  'answered' | 'refused' | 'unknown' | 'broken-off' | 'caller-gone' | 'no-route' | 'starting';
