import type { Milliseconds } from '../clock/mod.ts';

/** What is known of a server when capacity is decided. */
export type CapacityView = {
  readonly server: { readonly id: string; readonly slots: number };
  /** Requests at the server. */
  readonly load: number;
};

/** What a request needs of a server. */
export type CapacityRequest = {
  /** Prompt tokens that the server must prefill; 0 for plain services. */
  readonly promptTokens: number;
  /** Whether the response is a stream, whose prefill must not stall others. */
  readonly isStream: boolean;
  /** Longest pause that streams of the service bear; absent if none is set. */
  readonly maxPauseMs?: Milliseconds | undefined;
  /** Until when the request can wait for a server with little prefill outstanding. */
  readonly paceUntil: Milliseconds;
};

/** Share of the longest pause that outstanding prefill may take; the rest is for the steps themselves. */
const MAX_PREFILL_SHARE_OF_PAUSE = 0.5;

/** Whether a server has a slot for one more request. */
export function hasCapacity(
  view: CapacityView,
  _request: CapacityRequest,
  _now: Milliseconds,
): boolean {
  return view.load < view.server.slots;
}

/**
 * Whether the prefill of a request may start on a server beside the streams that run there.
 *
 * A server without outstanding prefill takes any prompt, since a long one would never start otherwise.
 *
 * @param outstandingMs Time for the prefill that the server already has to do.
 * @param ownMs Time for the prefill of this request.
 */
export function hasPrefillCapacity(
  request: CapacityRequest,
  outstandingMs: Milliseconds,
  ownMs: Milliseconds,
  now: Milliseconds,
): boolean {
  const { isStream, maxPauseMs, paceUntil } = request;
  if (!isStream || maxPauseMs === undefined || outstandingMs <= 0 || now >= paceUntil) return true;
  return outstandingMs + ownMs <= maxPauseMs * MAX_PREFILL_SHARE_OF_PAUSE;
}
