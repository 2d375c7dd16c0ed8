import type { Socket } from 'node:net';
import { Client, buildConnector } from 'undici';
import type { Milliseconds } from '../core/clock/mod.ts';
import { ConnectionsExhaustedError } from './connectionsExhaustedError.ts';

/** A request to a backend server. */
export type BackendRequest = {
  readonly method: string;
  /** Path and query, exactly as the caller sent them. */
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer;
  /** Whether an idle connection may be reused only if it was in use recently. */
  readonly needsRecentConnection: boolean;
};

/** Handlers of a response, called in this order; the last call is `end` or `failed`. */
export type ResponseEvents = {
  /** The response head; return false to abort the request without further calls. */
  readonly head: (status: number, headers: readonly string[], statusText: string) => boolean;
  /** A chunk of the body; return false to pause until `resume` is called. */
  readonly data: (chunk: Buffer) => boolean;
  /** The response is complete. */
  readonly end: () => void;
  /** There is no complete response; `wasSent` is false if no byte of the request was sent. */
  readonly failed: (error: Error, wasSent: boolean) => void;
};

/** Controls a request in progress. */
export type RequestHandle = {
  /** Resumes a paused response body. */
  readonly resume: () => void;
  /** Aborts the request and closes its connection; no handler is called afterwards. */
  readonly abort: () => void;
};

/** Options of `BackendConnections`. */
export type BackendConnectionsOptions = {
  /** IP address and port. */
  readonly address: string;
  /** Maximum number of open connections. @default 90 */
  readonly maxConnections?: number;
  /** Timeout for opening a connection. @default 600 */
  readonly connectTimeoutMs?: Milliseconds;
  /** Idle time up to which a connection counts as recently used. @default 700 */
  readonly recentIdleMs?: Milliseconds;
};

/** Idle time after which a connection is closed; shorter than that of backend servers. */
const IDLE_TIMEOUT_MS: Milliseconds = 4000;

/** Lower statuses are interim (1xx) responses. */
const FIRST_FINAL_STATUS = 200;

/** Bytes of a response that are not part of its body: its head, framing and trailers. */
const MAX_OVERHEAD_BYTES = 262_144;

/** Bytes of framing for each byte of the body, at most: the body may come in chunks of one byte. */
const MAX_FRAMING_BYTES_PER_BODY_BYTE = 16;

type Connection = {
  readonly client: Client;
  /** Bytes of the current response's body so far. */
  bodyBytes: number;
  /** Bytes that the socket had received before the current response. */
  bytesReadBefore: number;
  socket: Socket | undefined;
  /** Called when the current response has more bytes outside its body than any sound one. */
  onOverhead: () => void;
  /** Set when the socket fails, which undici reports as the regular end of some responses. */
  readonly socketState: { wasReset: boolean };
  isOpen: boolean;
  openedAt: Milliseconds;
  idleSince: Milliseconds;
};

/** The parser accepts heads, interim responses, framing and trailers of any length. */
function limitOverhead({ socket, bytesReadBefore, bodyBytes, onOverhead }: Connection): void {
  const overheadBytes = (socket?.bytesRead ?? 0) - bytesReadBefore - bodyBytes;
  const maxBytes = MAX_OVERHEAD_BYTES + bodyBytes * MAX_FRAMING_BYTES_PER_BODY_BYTE;
  if (overheadBytes > maxBytes) onOverhead();
}

/** Fails a request of which nothing was sent. */
function failSoon(events: ResponseEvents, error: Error): RequestHandle {
  let isAborted = false;
  queueMicrotask(() => {
    if (!isAborted) events.failed(error, false);
  });
  return {
    resume: () => undefined,
    abort: () => {
      isAborted = true;
    },
  };
}

/**
 * A pool of connections to one backend server; each carries one request at a time.
 *
 * A connection is reused only after exactly one complete response to its request; otherwise it is
 * closed.
 */
export class BackendConnections {
  readonly #options: Required<BackendConnectionsOptions>;

  readonly #idle: Connection[] = [];

  readonly #all = new Set<Connection>();

  constructor(options: BackendConnectionsOptions) {
    this.#options = { maxConnections: 90, connectTimeoutMs: 600, recentIdleMs: 700, ...options };
  }

  /** Sends a request. */
  send(request: BackendRequest, events: ResponseEvents): RequestHandle {
    let connection: Connection | undefined;
    try {
      connection = this.#acquire(request.needsRecentConnection);
    } catch (error) {
      // The address of the server is invalid.
      return failSoon(events, error instanceof Error ? error : new Error(String(error)));
    }
    if (connection === undefined) return failSoon(events, new ConnectionsExhaustedError());
    return this.#dispatch(connection, request, events);
  }

  /**
   * Whether a connection that was opened before a point in time is still open; if none is, the server has
   * most likely ended.
   */
  hasOpenSince(time: Milliseconds): boolean {
    return [...this.#all].some(({ isOpen, openedAt }) => isOpen && openedAt < time);
  }

  /** Closes all connections and aborts their requests. */
  close(): void {
    [...this.#all].forEach((connection) => this.#discard(connection));
  }

  #acquire(needsRecent: boolean): Connection | undefined {
    const now = performance.now();
    for (;;) {
      const connection = this.#idle.pop();
      if (connection === undefined) break;
      const idleMs = now - connection.idleSince;
      const isUsable =
        connection.isOpen && idleMs < (needsRecent ? this.#options.recentIdleMs : IDLE_TIMEOUT_MS);
      if (isUsable) return connection;
      this.#discard(connection);
    }
    return this.#all.size < this.#options.maxConnections ? this.#open() : undefined;
  }

  #open(): Connection {
    const connect = buildConnector({ timeout: this.#options.connectTimeoutMs, keepAlive: true });
    const socketState = { wasReset: false };
    let onSocket: (socket: Socket) => void = () => undefined;
    const client = new Client(`http://${this.#options.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: 300,
      connect: (options, callback) => {
        connect(options, (...result) => {
          const [, socket] = result;
          socket?.once('error', () => {
            socketState.wasReset = true;
          });
          if (socket) onSocket(socket);
          callback(...result);
        });
      },
    });
    const connection: Connection = {
      client,
      bodyBytes: 0,
      bytesReadBefore: 0,
      socket: undefined,
      onOverhead: () => undefined,
      socketState,
      isOpen: false,
      openedAt: 0,
      idleSince: 0,
    };
    onSocket = (socket) => {
      connection.socket = socket;
      socket.on('readable', () => limitOverhead(connection));
    };
    client.on('connect', () => {
      connection.isOpen = true;
      connection.openedAt = performance.now();
    });
    client.on('disconnect', () => this.#discard(connection));
    this.#all.add(connection);
    return connection;
  }

  #discard(connection: Connection): void {
    if (!this.#all.delete(connection)) return;
    connection.isOpen = false;
    const index = this.#idle.indexOf(connection);
    if (index >= 0) this.#idle.splice(index, 1);
    // A request in progress, if any, fails through `onError`.
    connection.client.destroy().catch(() => undefined);
  }

  #release(connection: Connection): void {
    if (!this.#all.has(connection)) return;
    connection.idleSince = performance.now();
    this.#idle.push(connection);
  }

  #dispatch(
    connection: Connection,
    request: BackendRequest,
    events: ResponseEvents,
  ): RequestHandle {
    let isFinished = false;
    let wasSent = false;
    let resume: () => void = () => undefined;
    let connectTimer: NodeJS.Timeout | undefined;
    const fail = (error: Error): void => {
      if (isFinished) return;
      isFinished = true;
      clearTimeout(connectTimer);
      this.#discard(connection);
      events.failed(error, wasSent);
    };
    connection.bodyBytes = 0;
    connection.bytesReadBefore = connection.socket?.bytesRead ?? 0;
    connection.onOverhead = () => fail(new Error('the response has no end outside its body'));
    connectTimer = setTimeout(() => {
      if (!wasSent) fail(new Error(`no connection within ${this.#options.connectTimeoutMs} ms`));
    }, this.#options.connectTimeoutMs);
    connection.client.dispatch(
      {
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body.length > 0 ? request.body : null,
      },
      {
        onConnect: () => {
          wasSent = true;
          clearTimeout(connectTimer);
        },
        onHeaders: (status, headers, resumeBody, statusText) => {
          resume = resumeBody;
          if (isFinished || status < FIRST_FINAL_STATUS) return true;
          const raw = (headers ?? []).map((part) => part.toString('latin1'));
          if (events.head(status, raw, statusText)) return true;
          isFinished = true;
          this.#discard(connection);
          return false;
        },
        onData: (chunk) => {
          connection.bodyBytes += chunk.length;
          return isFinished ? false : events.data(chunk);
        },
        onComplete: () => {
          if (isFinished) return;
          if (connection.socketState.wasReset) {
            fail(new Error('the connection was reset before the response was complete'));
            return;
          }
          isFinished = true;
          events.end();
          // undici detects bytes after the response only when it reads again.
          setImmediate(() => this.#release(connection));
        },
        onError: (error) => fail(error),
      },
    );
    return {
      resume: () => resume(),
      abort: () => {
        if (isFinished) return;
        isFinished = true;
        clearTimeout(connectTimer);
        this.#discard(connection);
      },
    };
  }
}
