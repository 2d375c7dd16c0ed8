import type { Socket } from 'node:net';
import { Client, buildConnector } from 'undici';
import type { Milliseconds } from '../core/clock/mod.ts';
import { isDisconnected } from '../http/mod.ts';
import type { SocketReads } from '../http/mod.ts';
import { limitOverhead } from './_connection.ts';
import type { Connection } from './_connection.ts';
import { probeServer } from './_probeServer.ts';
import type { ProbeResult } from './_probeServer.ts';
import { Sending } from './_sending.ts';
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
  /** Called just before the first byte is sent. @default does nothing */
  readonly onWrite?: () => void;
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
  /**
   * Tells how long ago the callers' sockets were read; nothing is sent unless that was a moment ago.
   *
   * @default they always have just been read
   */
  readonly socketReads?: Pick<SocketReads, 'isRecent' | 'afterRead'>;
};

const ALWAYS_RECENT: Pick<SocketReads, 'isRecent' | 'afterRead'> = {
  isRecent: true,
  afterRead: (run) => {
    run();
    return () => undefined;
  },
};

/** Error code of a reset by which undici fails a response. */
const RESET_CODE = 'UND_ERR_SOCKET';

/** Whether neither end has closed a socket; the client reports that turns of the event loop later. */
function isWhole(socket: Socket | undefined): boolean {
  return socket?.destroyed === false && !socket.readableEnded;
}

/** Idle time after which a connection is closed; shorter than that of backend servers. */
const IDLE_TIMEOUT_MS: Milliseconds = 4000;

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

  #isClosed = false;

  constructor(options: BackendConnectionsOptions) {
    this.#options = {
      maxConnections: 90,
      connectTimeoutMs: 600,
      recentIdleMs: 700,
      socketReads: ALWAYS_RECENT,
      ...options,
    };
  }

  /** IP address and port of the server. */
  get address(): string {
    return this.#options.address;
  }

  /** Sends a request. */
  send(request: BackendRequest, events: ResponseEvents): RequestHandle {
    const { connectTimeoutMs, socketReads } = this.#options;
    const sending = new Sending({
      request,
      events,
      connectTimeoutMs,
      socketReads,
      acquire: () => this.#acquire(request.needsRecentConnection),
      release: (connection) => this.#release(connection),
      discard: (connection) => this.#discard(connection),
    });
    sending.start();
    return sending;
  }

  /**
   * Whether a connection that was opened before a point in time is still open, as far as it is read; then the
   * server has not ended.
   */
  hasOpenSince(time: Milliseconds): boolean {
    return [...this.#all].some(
      ({ isOpen, isPaused, openedAt, socket }) =>
        isOpen && !isPaused && openedAt < time && isWhole(socket),
    );
  }

  /** Finds out whether the server accepts connections; `onResult` is called once, later. */
  probe(onResult: (result: ProbeResult) => void): void {
    probeServer({ address: this.#options.address }, onResult);
  }

  /** Closes all connections and aborts their requests. */
  close(): void {
    this.#isClosed = true;
    [...this.#all].forEach((connection) => this.#discard(connection));
  }

  #acquire(needsRecent: boolean): Connection {
    if (this.#isClosed) throw new Error('the connections to the server are closed');
    const now = performance.now();
    for (;;) {
      const connection = this.#idle.pop();
      if (connection === undefined) break;
      const idleMs = now - connection.idleSince;
      const isUsable =
        connection.isOpen &&
        isWhole(connection.socket) &&
        idleMs < (needsRecent ? this.#options.recentIdleMs : IDLE_TIMEOUT_MS);
      if (isUsable) return connection;
      this.#discard(connection);
    }
    if (this.#all.size >= this.#options.maxConnections) throw new ConnectionsExhaustedError();
    return this.#open();
  }

  #open(): Connection {
    const connect = buildConnector({ timeout: this.#options.connectTimeoutMs, keepAlive: true });
    const socketState = { wasReset: false };
    let onSocket: (socket: Socket, callback: buildConnector.Callback) => void = () => undefined;
    const client = new Client(`http://${this.#options.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: 300,
      connect: (options, callback) => {
        connect(options, (...result) => {
          const [, socket] = result;
          if (socket) onSocket(socket, callback);
          else callback(...result);
        });
      },
    });
    const connection: Connection = {
      client,
      bodyBytes: 0,
      bytesReadBefore: 0,
      socket: undefined,
      onOverhead: () => undefined,
      onSocketEnd: () => undefined,
      socketState,
      isOpen: false,
      isPaused: false,
      openedAt: 0,
      idleSince: 0,
    };
    onSocket = (socket, callback) => this.#adopt(connection, socket, callback);
    client.on('connect', () => {
      connection.isOpen = true;
      connection.openedAt = performance.now();
    });
    client.on('disconnect', () => this.#discard(connection));
    this.#all.add(connection);
    return connection;
  }

  /** Has a new socket used, which its request may be written to at once. */
  #adopt(connection: Connection, socket: Socket, callback: buildConnector.Callback): void {
    connection.socket = socket;
    // Before undici, which takes a response without a length as complete at the code of a reset.
    socket.prependOnceListener('error', (error: NodeJS.ErrnoException) => {
      connection.socketState.wasReset = true;
      if (error.code === 'ECONNRESET') error.code = RESET_CODE;
    });
    // Before undici, which completes a response without a length at this event and asserts that its body is not paused.
    socket.prependOnceListener('end', () => {
      // Completes a response with a length, which a reset after it leaves whole.
      connection.onSocketEnd();
      if (isDisconnected(socket)) connection.socketState.wasReset = true;
    });
    this.#options.socketReads.afterRead(() => {
      if (socket.destroyed) {
        callback(new Error('the connection closed before it was used'), null);
        return;
      }
      socket.on('readable', () => limitOverhead(connection));
      callback(null, socket);
    });
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
}
