import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { IntakeQueue, ListenQueueGuard } from '../core/admission/mod.ts';
import type { Milliseconds } from '../core/clock/mod.ts';
import { LoopTurns } from './_loopTurns.ts';
import type { SocketReads } from './_loopTurns.ts';

/** How a request was read, which tells where it may have waited before. */
export type RequestArrival = {
  /** Time from accepting the connection to reading the request. */
  readonly connectionAgeMs: Milliseconds;
  /** Number of requests read from the connection, this one included. */
  readonly connectionRequests: number;
  /** Number of turns of the event loop in a row that each accepted a connection. */
  readonly acceptRun: number;
  /** Time that the last turn of the event loop took. */
  readonly turnMs: Milliseconds;
  /** Time from reading the request to handling it. */
  readonly waitedMs: Milliseconds;
};

/** A request that was read completely. */
export type ReadRequest = {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Called once the request may be handled, unless its caller has left before. */
  readonly handle: (arrival: RequestArrival) => void;
  /** Called instead of `handle` if the caller has left. @default does nothing */
  readonly onCallerGone?: (arrival: RequestArrival) => void;
};

/** Options of `RequestIntake`. */
export type RequestIntakeOptions = {
  /** Called after each turn of the event loop with socket events. @default does nothing */
  readonly onTurn?: (tookMs: Milliseconds) => void;
};

/** Time per turn of the event loop for handling requests; sockets are read after it at the latest. */
const HANDLING_SLICE_MS: Milliseconds = 10;

/** The same while requests are overdue. */
const OVERDUE_SLICE_MS: Milliseconds = 100;

type ConnectionRecord = { readonly acceptedAt: Milliseconds; requests: number };

type WaitingRequest = ReadRequest & {
  readonly readAt: Milliseconds;
  readonly arrival: Omit<RequestArrival, 'waitedMs'>;
  readonly stopObserving: () => void;
};

/** Whether a request is the first of its connection; later ones tell nothing of the wait to be accepted. */
function isFirstRequest({ arrival }: WaitingRequest): boolean {
  return arrival.connectionRequests === 1;
}

/** Whether the other end has closed or reset a connection, and not this process. */
function isClosedByCaller({ readableEnded, errored }: Socket): boolean {
  return readableEnded || errored !== null;
}

/**
 * Calls `run` once when the caller of a request has closed its connection, or its sending side, before
 * the response is complete. Returns a function that ends the observation.
 */
export function onCallerGone(
  request: IncomingMessage,
  response: ServerResponse,
  run: () => void,
): () => void {
  const { socket } = request;
  let isObserved = true;
  let stop = (): void => undefined;
  const handleEnd = (): void => {
    if (!isObserved) return;
    stop();
    run();
  };
  const handleClose = (): void => {
    // The close of the socket is what closes the response, and both call this.
    if (!isObserved) return;
    stop();
    if (!response.writableFinished) run();
  };
  stop = () => {
    isObserved = false;
    socket.off('end', handleEnd);
    response.off('close', handleClose);
    socket.off('close', handleClose);
  };
  // The response closes turns after the socket has ended, and later still if writes are blocked.
  socket.once('end', handleEnd);
  response.once('close', handleClose);
  // The responses to pipelined requests do not close with their socket.
  socket.once('close', handleClose);
  return stop;
}

/**
 * Passes on requests of a server for handling, but not those whose callers have already left.
 *
 * Accepting connections and reading requests comes before handling them, so that no more than a turn
 * of the event loop lies between a caller's close and the process's knowledge of it.
 */
export class RequestIntake {
  readonly #connections = new Map<Socket, ConnectionRecord>();

  readonly #queue = new IntakeQueue<WaitingRequest>();

  readonly #turns: LoopTurns;

  readonly #guard = new ListenQueueGuard();

  readonly #listenQueueResets: (() => void)[] = [];

  constructor({ onTurn }: RequestIntakeOptions = {}) {
    this.#turns = new LoopTurns({
      onTurn: ({ tookMs, hasAccepted }) => {
        this.#queue.endTurn(hasAccepted);
        this.#handleWaiting();
        if (this.#guard.endTurn(hasAccepted, performance.now())) {
          this.#listenQueueResets.forEach((reset) => reset());
        }
        onTurn?.(tookMs);
      },
      hasWork: () => this.#queue.size > 0,
    });
  }

  /**
   * Observes the connections of a server.
   *
   * @param server The server.
   * @param resetListenQueue Called when the callers of the connections that wait to be accepted have left.
   *   @default does nothing
   */
  observe(server: Server, resetListenQueue: () => void = () => undefined): void {
    this.#listenQueueResets.push(resetListenQueue);
    server.on('connection', (socket) => {
      this.#connections.set(socket, { acceptedAt: performance.now(), requests: 0 });
      this.#turns.noteAccepted();
      // Each pipelined request observes the end of the socket.
      socket.setMaxListeners(0);
      socket.once('close', () => this.#connections.delete(socket));
    });
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Number of turns of the event loop in a row, up to now, that each accepted a connection. */
  get acceptRun(): number {
    return this.#turns.acceptRun;
  }

  /** Whether a listen queue was reset a moment ago, since its callers had left. */
  get hasResetListenQueue(): boolean {
    return this.#guard.wasAbandoned(performance.now());
  }

  /** How long connections have waited to be accepted while none had a request handled. */
  get silenceMs(): Milliseconds {
    return this.#guard.silenceMs(performance.now());
  }

  /** Tells how long ago the callers' sockets were read. */
  get reads(): SocketReads {
    return this.#turns;
  }

  /** How long the oldest request that was read and is not handled yet has waited. */
  get oldestWaitMs(): Milliseconds {
    return this.#queue.oldestWaitMs(performance.now());
  }

  /** Adds a request that was read completely. */
  add(read: ReadRequest): void {
    const { request, response } = read;
    const readAt = performance.now();
    const record = this.#connections.get(request.socket);
    if (record !== undefined) record.requests += 1;
    const waiting: WaitingRequest = {
      ...read,
      readAt,
      arrival: {
        connectionAgeMs: readAt - (record?.acceptedAt ?? readAt),
        connectionRequests: record?.requests ?? 0,
        acceptRun: this.#turns.acceptRun,
        turnMs: this.#turns.lastTurnMs,
      },
      stopObserving: onCallerGone(request, response, () => {
        if (!this.#queue.remove(waiting)) return;
        if (isFirstRequest(waiting) && isClosedByCaller(request.socket)) this.#guard.noteGone();
        read.onCallerGone?.(RequestIntake.#arrivalOf(waiting));
      }),
    };
    this.#queue.add(waiting, readAt);
    this.#turns.noteEvent();
  }

  /** Stops passing on requests. */
  close(): void {
    this.#turns.close();
  }

  static #arrivalOf({ arrival, readAt }: WaitingRequest): RequestArrival {
    return { ...arrival, waitedMs: performance.now() - readAt };
  }

  /** Handles waiting requests, at least one and more while the time slice lasts. */
  #handleWaiting(): void {
    const startedAt = performance.now();
    let now: Milliseconds;
    do {
      const next = this.#queue.take(performance.now());
      if (next === undefined) return;
      next.stopObserving();
      if (isFirstRequest(next)) this.#guard.noteHandled(performance.now());
      next.handle(RequestIntake.#arrivalOf(next));
      now = performance.now();
    } while (now - startedAt < (this.#queue.isOverdue(now) ? OVERDUE_SLICE_MS : HANDLING_SLICE_MS));
  }
}
