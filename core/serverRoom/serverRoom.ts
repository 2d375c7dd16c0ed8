import type { Milliseconds } from '../clock/mod.ts';

/** What a server has taken on over all entries, and what it can take. */
export type ServerRoom = {
  /** Requests that it runs concurrently. */
  readonly slots: number;
  /** Requests that it runs or queues. */
  readonly requests: number;
  /** Prompt tokens that it has still to prefill. */
  readonly promptTokens: number;
  /** Prompt tokens that it prefills in a millisecond now. */
  readonly promptTokensPerMs: number;
  /** Tokens that its memory holds; `undefined` if it is not limited by memory. */
  readonly memoryTokens: number | undefined;
  /** Tokens that cannot be reclaimed once its requests have been served as expected. */
  readonly committedTokens: number;
  /** Mean time from the start to the end of a request. */
  readonly serviceMs: Milliseconds;
  /** Time from one output token of a stream to the next. */
  readonly tokenMs: Milliseconds;
  /** Time that a slowness of the server is expected to add to a request. */
  readonly slownessMs: Milliseconds;
};

/** What a request needs of a server. */
export type RoomRequest = {
  /** Prompt tokens to be prefilled: those that the server does not hold. */
  readonly promptTokens: number;
  /** Expected number of output tokens. */
  readonly outputTokens: number;
  /** Longest time until it starts. @default no limit */
  readonly maxStartMs?: Milliseconds;
};

/** Share of the memory that is filled by plan; the rest absorbs outputs longer than expected. */
const PLANNED_MEMORY_SHARE = 0.95;

/** Weight of the delay of each running stream by the prefill of a request, relative to its own delay. */
const STALL_WEIGHT = 0.1;

/** Tokens that a request lacks at a server; 0 or less if it fits. */
function missingTokens(room: ServerRoom, request: RoomRequest): number {
  if (room.memoryTokens === undefined) return 0;
  const neededTokens = request.promptTokens + request.outputTokens;
  return room.committedTokens + neededTokens - room.memoryTokens * PLANNED_MEMORY_SHARE;
}

/** Time until a slot and the memory are free, by the mean rate at which requests end. */
function departureWaitMs(room: ServerRoom, request: RoomRequest): Milliseconds {
  const missingSlots = Math.max(0, room.requests + 1 - room.slots);
  const missingShare =
    Math.max(0, missingTokens(room, request)) / Math.max(1, room.memoryTokens ?? 1);
  return room.serviceMs * Math.max(missingSlots / Math.max(1, room.slots), missingShare);
}

/** Expected time until a server starts the prefill of a request that is sent now. */
export function expectedStartMs(room: ServerRoom, request: RoomRequest): Milliseconds {
  return departureWaitMs(room, request) + room.promptTokens / room.promptTokensPerMs;
}

/** Whether a server can start a request at once and in time, without preempting a running stream. */
export function hasCapacity(room: ServerRoom, request: RoomRequest): boolean {
  return (
    room.requests < room.slots &&
    missingTokens(room, request) <= 0 &&
    expectedStartMs(room, request) <= (request.maxStartMs ?? Infinity)
  );
}

/**
 * Expected time until a server has served a request that is sent now, with the delay that its prefill
 * causes to the streams that the server runs.
 */
export function expectedCompletionMs(room: ServerRoom, request: RoomRequest): Milliseconds {
  const prefillMs = request.promptTokens / room.promptTokensPerMs;
  const streams = Math.min(room.requests, room.slots);
  const stallMs = prefillMs * streams * STALL_WEIGHT;
  const runMs = request.outputTokens > 0 ? request.outputTokens * room.tokenMs : room.serviceMs;
  return expectedStartMs(room, request) + prefillMs + stallMs + runMs + room.slownessMs;
}
