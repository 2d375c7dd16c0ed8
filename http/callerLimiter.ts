import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { ConnectionLedger } from '../core/admission/mod.ts';
import type { Milliseconds } from '../core/clock/mod.ts';

/** Options of `CallerLimiter`. */
export type CallerLimiterOptions = {
  /** Memory that all connections of callers may take together. @default no limit */
  readonly maxHeldBytes?: number;
  /** Memory that an open connection takes. @default 8192 */
  readonly connectionBytes?: number;
  /** Memory that an open request takes beyond its body. @default 8192 */
  readonly requestBytes?: number;
  /** Requests of one connection that are not answered above which the connection is closed. @default 256 */
  readonly maxUnanswered?: number;
  /** Chunks of bodies read in a second above which further connections that send many are closed. @default 200000 */
  readonly maxChunksPerSecond?: number;
  /** Called when a request is refused or a connection is closed because of a limit. @default does nothing */
  readonly onLimited?: () => void;
};

/** A request whose body is being read. */
export type ReadingRequest = {
  /** Records a chunk of the body and what the body takes so far; may refuse the request. */
  readonly hold: (bodyBytes: number) => void;
  /** Records that the request is complete, so that it may run. */
  readonly complete: () => void;
};

type Connection = {
  readonly socket: Socket;
  /** Bytes read from the socket when its last request ended. */
  bytesReadBefore: number;
  /** Memory of each open request. */
  readonly requests: Map<IncomingMessage, number>;
  /** Refuses the request whose body is being read; `undefined` if there is none. */
  refuse: (() => void) | undefined;
  /** Chunks in the current second. */
  chunks: number;
};

/** Interval at which incomplete heads and responses that are not read are counted. */
const COUNT_INTERVAL_MS: Milliseconds = 500;

const WINDOW_MS: Milliseconds = 1000;

/** Bytes of an incomplete head, or of a response that is not read, up to which a connection counts as idle. */
const MAX_IDLE_BYTES = 4096;

/** Chunks in a second for which no connection is closed. */
const FEW_CHUNKS = 1000;

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/**
 * Bounds what the callers of one or more servers make the process hold and do, whatever the form in which
 * they send it.
 *
 * Above the bound of memory, the connection that takes most is closed, or its request refused, among those
 * whose requests are incomplete or that have sent several at once. Requests that may be running are kept.
 */
export class CallerLimiter {
  readonly #options: Required<CallerLimiterOptions>;

  readonly #ledger: ConnectionLedger<Connection>;

  readonly #connections = new Map<Socket, Connection>();

  readonly #timer: NodeJS.Timeout;

  /** Connections with chunks in the current second. */
  readonly #active = new Set<Connection>();

  #chunks = 0;

  constructor(options: CallerLimiterOptions = {}) {
    this.#options = {
      maxHeldBytes: Infinity,
      connectionBytes: 8192,
      requestBytes: 8192,
      maxUnanswered: 256,
      maxChunksPerSecond: 200_000,
      onLimited: () => undefined,
      ...options,
    };
    this.#ledger = new ConnectionLedger(this.#options.maxHeldBytes);
    this.#timer = setInterval(() => this.#countAll(), COUNT_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Memory that the connections of all callers take. */
  get heldBytes(): number {
    return this.#ledger.heldBytes;
  }

  /** Observes the connections of a server; call it before the server gets its handlers of requests. */
  observe(server: Server): void {
    server.on('connection', (socket) => this.#addConnection(socket));
    server.prependListener('request', (request, response) => this.#addRequest(request, response));
    server.prependListener('checkContinue', (request, response) =>
      this.#addRequest(request, response),
    );
  }

  /**
   * Begins to count the body of a request.
   *
   * @param request The request.
   * @param refuse Responds that the request has not run, and releases its body.
   */
  read(request: IncomingMessage, refuse: () => void): ReadingRequest {
    const connection = this.#connections.get(request.socket);
    if (connection === undefined || !hasBody(request)) {
      return { hold: () => undefined, complete: () => undefined };
    }
    connection.refuse = refuse;
    this.#count(connection);
    const headBytes = this.#requestBytes(request);
    let countedBytes = 0;
    return {
      hold: (bodyBytes) => {
        if (connection.refuse !== refuse || !this.#noteChunk(connection)) return;
        if (bodyBytes === countedBytes) return;
        countedBytes = bodyBytes;
        connection.requests.set(request, headBytes + bodyBytes);
        this.#count(connection);
      },
      complete: () => {
        if (connection.refuse === refuse) connection.refuse = undefined;
        this.#count(connection);
      },
    };
  }

  /** Stops counting. */
  close(): void {
    clearInterval(this.#timer);
  }

  #requestBytes({ rawHeaders }: IncomingMessage): number {
    return rawHeaders.reduce((sum, text) => sum + text.length, this.#options.requestBytes);
  }

  #addConnection(socket: Socket): void {
    const connection: Connection = {
      socket,
      bytesReadBefore: 0,
      requests: new Map(),
      refuse: undefined,
      chunks: 0,
    };
    this.#connections.set(socket, connection);
    socket.once('close', () => {
      this.#connections.delete(socket);
      this.#ledger.delete(connection);
    });
    this.#count(connection);
  }

  #addRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    if (connection === undefined || connection.requests.has(request)) return;
    connection.requests.set(request, this.#requestBytes(request));
    response.once('close', () => {
      connection.requests.delete(request);
      connection.bytesReadBefore = connection.socket.bytesRead;
      this.#count(connection);
    });
    if (connection.requests.size > this.#options.maxUnanswered) this.#closeConnection(connection);
    else this.#count(connection);
  }

  /** Counts a chunk of a body; returns false if its connection is closed for the work that it makes. */
  #noteChunk(connection: Connection): boolean {
    if (this.#chunks === 0) setTimeout(() => this.#endWindow(), WINDOW_MS).unref();
    this.#chunks += 1;
    this.#active.add(connection);
    connection.chunks += 1;
    // A connection that is alone may go on, and so may one that sends few chunks.
    const others = this.#chunks - connection.chunks;
    if (others <= this.#options.maxChunksPerSecond || connection.chunks <= FEW_CHUNKS) return true;
    this.#limit(connection);
    connection.socket.destroy();
    return false;
  }

  #endWindow(): void {
    this.#chunks = 0;
    this.#active.forEach((connection) => {
      connection.chunks = 0;
    });
    this.#active.clear();
  }

  /** Counts what connections take without events: incomplete heads, and responses that are not read. */
  #countAll(): void {
    this.#connections.forEach((connection) => this.#count(connection));
  }

  #count(connection: Connection): void {
    const { socket, requests, bytesReadBefore, refuse } = connection;
    // Requests read before are still reported once a connection is closed.
    if (!this.#connections.has(socket)) return;
    const headBytes = requests.size === 0 ? socket.bytesRead - bytesReadBefore : 0;
    const looseBytes = headBytes + socket.writableLength;
    let bytes = this.#options.connectionBytes + looseBytes;
    requests.forEach((requestBytes) => {
      bytes += requestBytes;
    });
    const isIdle = requests.size === 0 && looseBytes <= MAX_IDLE_BYTES;
    const mayClose = refuse !== undefined || (requests.size !== 1 && !isIdle);
    this.#ledger.set(connection, { bytes, mayClose });
    const { excess } = this.#ledger;
    if (excess !== undefined) this.#limit(excess);
  }

  /** Refuses the request that a connection sends, or closes the connection. */
  #limit(connection: Connection): void {
    const { refuse, requests } = connection;
    if (refuse === undefined || requests.size > 1) {
      this.#closeConnection(connection);
      return;
    }
    connection.refuse = undefined;
    requests.forEach((_, request) => requests.set(request, this.#requestBytes(request)));
    this.#options.onLimited();
    refuse();
    this.#ledger.set(connection, { bytes: this.#options.connectionBytes, mayClose: false });
  }

  #closeConnection(connection: Connection): void {
    connection.refuse = undefined;
    connection.requests.clear();
    this.#ledger.delete(connection);
    this.#connections.delete(connection.socket);
    this.#options.onLimited();
    connection.socket.destroy();
  }
}
