import { Client, buildConnector } from 'undici';
import type { Milliseconds } from '../core/clock/mod.ts';

/** A request to a backend server. */
export type BackendRequest = {
  readonly method: string;
  /** Path and query, byte for byte as the caller sent them. */
  readonly path: string;
  /** Names and values by turns. */
  readonly headers: string[];
  readonly body: Buffer;
  /** Whether only a connection that was in use a moment ago may be used again. */
  readonly needsLiveConnection: boolean;
};

/** What the sender of a request is told, in this order. */
export type AnswerEvents = {
  /** The head of the answer; return false to take nothing more of it. */
  readonly head: (status: number, headers: readonly string[], statusText: string) => boolean;
  /** A piece of the body; return false to pause until `resume` is called. */
  readonly data: (piece: Buffer) => boolean;
  /** The answer is whole. */
  readonly end: () => void;
  /** There is no whole answer; `wasSent` is false when no byte of the request has left. */
  readonly failed: (error: Error, wasSent: boolean) => void;
};

/** A request on its way. */
export type Sending = {
  /** Takes pieces again. */
  readonly resume: () => void;
  /** Ends the request and its connection; no event follows. */
  readonly abort: () => void;
};

/** How to build `BackendConnections`. */
export type BackendConnectionsOptions = {
  /** IP number and port. */
  readonly address: string;
  /** Connections that may be open at a time. @default 90 */
  readonly maxConnections?: number;
  /** Time to open a connection. @default 600 */
  readonly connectMs?: Milliseconds;
  /** Idle time after which a connection is not used for what may run once. @default 700 */
  readonly liveMs?: Milliseconds;
};

/** Idle time after which a connection is closed; backend servers close theirs later. */
const IDLE_MS: Milliseconds = 4000;

/** Statuses below it announce an answer that follows. */
const FIRST_FINAL_STATUS = 200;

type Connection = {
  readonly client: Client;
  /** Whether the socket ended in an error, which undici takes for the end of some answers. */
  readonly seen: { wasReset: boolean };
  isOpen: boolean;
  idleSince: Milliseconds;
};

/**
 * The connections to one backend server; each carries one request at a time.
 *
 * A connection that has shown anything but one whole answer to its request is closed and never used
 * again.
 */
export class BackendConnections {
  readonly #options: Required<BackendConnectionsOptions>;

  readonly #idle: Connection[] = [];

  readonly #all = new Set<Connection>();

  constructor(options: BackendConnectionsOptions) {
    this.#options = { maxConnections: 90, connectMs: 600, liveMs: 700, ...options };
  }

  /** Sends a request. */
  send(request: BackendRequest, events: AnswerEvents): Sending {
    const connection = this.#take(request.needsLiveConnection);
    if (connection === undefined) {
      const error = new Error('all connections to the backend server are in use');
      queueMicrotask(() => events.failed(error, false));
      return { resume: () => undefined, abort: () => undefined };
    }
    return this.#dispatch(connection, request, events);
  }

  /** Closes all connections and breaks off their requests. */
  close(): void {
    [...this.#all].forEach((connection) => this.#discard(connection));
  }

  #take(needsLive: boolean): Connection | undefined {
    const now = performance.now();
    for (;;) {
      const connection = this.#idle.pop();
      if (connection === undefined) break;
      const idleMs = now - connection.idleSince;
      const isFit = connection.isOpen && idleMs < (needsLive ? this.#options.liveMs : IDLE_MS);
      if (isFit) return connection;
      this.#discard(connection);
    }
    return this.#all.size < this.#options.maxConnections ? this.#open() : undefined;
  }

  #open(): Connection {
    const connect = buildConnector({ timeout: this.#options.connectMs, keepAlive: true });
    const seen = { wasReset: false };
    const client = new Client(`http://${this.#options.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MS,
      keepAliveTimeoutThreshold: 300,
      connect: (options, callback) => {
        connect(options, (...result) => {
          result[1]?.once('error', () => {
            seen.wasReset = true;
          });
          callback(...result);
        });
      },
    });
    const connection: Connection = { client, seen, isOpen: false, idleSince: 0 };
    client.on('connect', () => {
      connection.isOpen = true;
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
    // The requests of a connection that is closed have had their events.
    connection.client.destroy().catch(() => undefined);
  }

  #release(connection: Connection): void {
    if (!this.#all.has(connection)) return;
    connection.idleSince = performance.now();
    this.#idle.push(connection);
  }

  #dispatch(connection: Connection, request: BackendRequest, events: AnswerEvents): Sending {
    let isOver = false;
    let wasSent = false;
    let resume: () => void = () => undefined;
    let connecting: NodeJS.Timeout | undefined;
    const fail = (error: Error): void => {
      if (isOver) return;
      isOver = true;
      clearTimeout(connecting);
      this.#discard(connection);
      events.failed(error, wasSent);
    };
    connecting = setTimeout(() => {
      if (!wasSent) fail(new Error(`no connection within ${this.#options.connectMs} ms`));
    }, this.#options.connectMs);
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
          clearTimeout(connecting);
        },
        onHeaders: (status, headers, resumeBody, statusText) => {
          resume = resumeBody;
          if (isOver || status < FIRST_FINAL_STATUS) return true;
          const raw = (headers ?? []).map((part) => part.toString('latin1'));
          if (events.head(status, raw, statusText)) return true;
          isOver = true;
          this.#discard(connection);
          return false;
        },
        onData: (piece) => (isOver ? false : events.data(piece)),
        onComplete: () => {
          if (isOver) return;
          if (connection.seen.wasReset) {
            fail(new Error('the connection was reset before the answer was whole'));
            return;
          }
          isOver = true;
          events.end();
          // Bytes that follow the answer are noticed once undici has read on.
          setImmediate(() => this.#release(connection));
        },
        onError: (error) => fail(error),
      },
    );
    return {
      resume: () => resume(),
      abort: () => {
        if (isOver) return;
        isOver = true;
        clearTimeout(connecting);
        this.#discard(connection);
      },
    };
  }
}
