import { createServer } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { CallerLimits } from '../core/serving/mod.ts';
import type { Milliseconds } from '../core/clock/mod.ts';
import { CallerLimiter, onCallerGone, RequestBody, RequestIntake } from '../http/mod.ts';
import type { RequestArrival } from '../http/mod.ts';
import { HeaderTimeout } from './_headerTimeout.ts';

/** A caller's request with its complete body. */
export type CallerRequest = {
  readonly method: string;
  /** Path and query, exactly as received. */
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly arrival: RequestArrival;
  readonly response: CallerResponse;
};

/** Status and headers of a response. */
export type CallerResponseHead = {
  readonly status: number;
  readonly statusText: string;
  /**
   * Alternating names and values. Without a length the body is sent in chunks, or up to the end of the connection to a
   * caller that knows no chunks.
   */
  readonly headers: readonly string[];
};

/** The response to one request. */
export type CallerResponse = {
  /** Sends the status and headers. */
  readonly begin: (head: CallerResponseHead) => void;
  /** Writes a chunk of the body; returns false when the buffer is full, until `onDrain` runs. */
  readonly write: (chunk: Buffer) => boolean;
  /** Completes the response, after an optional last chunk. */
  readonly end: (last?: string) => void;
  /** Closes the connection, by a reset if a regular close would make the response look complete. */
  readonly abort: () => void;
  /** Whether the status and headers have been sent. */
  readonly hasBegun: () => boolean;
  /** Calls `run` once when the buffer has drained. */
  readonly onDrain: (run: () => void) => void;
  /** Calls `run` once if the caller closes the connection before the response is complete. */
  readonly onDisconnect: (run: () => void) => void;
};

/** A caller's request of which only the headers have arrived. */
export type EarlyRequest = Pick<CallerRequest, 'path' | 'headers' | 'response'>;

/** Options of `CallerServer`. */
export type CallerServerOptions = {
  readonly ip: string;
  readonly port: number;
  readonly limits: CallerLimits;
  readonly handle: (request: CallerRequest) => void;
  /**
   * Called when the headers of a request have arrived and its body has not; returns whether it has responded,
   * so that the body is discarded. @default never responds
   */
  readonly rejectEarly?: (request: EarlyRequest) => boolean;
  /** Called instead of `handle` if the caller left before. @default does nothing */
  readonly onCallerGone?: (request: CallerRequest) => void;
  /** Bounds what callers make the process hold and do. @default without a bound of memory */
  readonly limiter?: CallerLimiter;
  /** Passes on the requests; closed with the server. @default one of its own */
  readonly intake?: RequestIntake;
  /** Called when all connections that waited to be accepted were reset. @default does nothing */
  readonly onListenQueueReset?: () => void;
  /** Called when the server could not listen again after that, which it retries. @default does nothing */
  readonly onListenFailed?: (error: Error) => void;
};

const PAYLOAD_TOO_LARGE = 413;

const HEADER_FIELDS_TOO_LARGE = 431;

const UNAVAILABLE = 503;

/** Shortest time after which a caller whose body was refused may return. */
const RETURN_DELAY_S = 1;

/** Length of the listen queue. */
const BACKLOG = 1024;

/** Time between two attempts to listen again. */
const LISTEN_RETRY_INTERVAL_MS: Milliseconds = 100;

/** Header size limit of the parser; the configured limit is checked afterwards. */
const MAX_PARSER_HEADER_BYTES = 65_536;

/** Bytes of the separator `: ` and the line end in a header line. */
const HEADER_LINE_OVERHEAD_BYTES = 4;

function headerBytes(request: IncomingMessage): number {
  return request.rawHeaders.reduce(
    (sum, text) => sum + text.length + HEADER_LINE_OVERHEAD_BYTES / 2,
    0,
  );
}

/** Whether alternating names and values have the length of the body. */
function hasLength(headers: readonly string[]): boolean {
  return headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
}

/** Rejects a request that exceeds a limit; discards the rest and closes the connection. */
function rejectRequest(
  request: IncomingMessage,
  response: ServerResponse,
  status: number,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (response.headersSent) return;
  request.removeAllListeners('data');
  request.resume();
  response.writeHead(status, { 'content-length': 0, connection: 'close', ...headers });
  response.end();
}

/** Refuses a request that has not run, spread over time so that callers do not return together. */
function refuseRequest(request: IncomingMessage, response: ServerResponse): void {
  const delayS = RETURN_DELAY_S * (1 + Math.random());
  rejectRequest(request, response, UNAVAILABLE, { 'retry-after': delayS.toFixed(1) });
}

/** HTTP/1.1 server for callers. */
export class CallerServer {
  readonly #server: Server;

  readonly #options: CallerServerOptions;

  readonly #headerTimeout: HeaderTimeout;

  readonly #intake: RequestIntake;

  #limits: CallerLimits;

  #isDraining = false;

  readonly #limiter: CallerLimiter;

  #openRequests = 0;

  #isAborted = false;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#limits = options.limits;
    this.#headerTimeout = new HeaderTimeout(options.limits.headerTimeoutMs);
    this.#server = createServer(
      {
        maxHeaderSize: MAX_PARSER_HEADER_BYTES,
        requestTimeout: 0,
        keepAlive: true,
        noDelay: true,
      },
      (request, response) => this.#readRequest(request, response),
    );
    this.#server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) =>
      this.#readRequestAfterContinue(request, response),
    );
    this.#server.on('connection', (socket) => this.#headerTimeout.add(socket));
    this.#intake = options.intake ?? new RequestIntake();
    this.#intake.observe(this.#server, () => this.#resetListenQueue());
    this.#limiter = options.limiter ?? new CallerLimiter();
    this.#limiter.observe(this.#server);
    this.applyLimits(options.limits);
  }

  /** Number of requests in progress. */
  get openRequestCount(): number {
    return this.#openRequests;
  }

  /** Memory that callers' connections and requests take. */
  get heldBytes(): number {
    return this.#limiter.heldBytes;
  }

  /** Number of turns of the event loop in a row, up to now, that each accepted a connection. */
  get acceptRun(): number {
    return this.#intake.acceptRun;
  }

  /** How long the oldest request that was read and is not handled yet has waited. */
  get oldestWaitMs(): Milliseconds {
    return this.#intake.oldestWaitMs;
  }

  /** Number of open connections. */
  get openConnectionCount(): number {
    return this.#intake.connectionCount;
  }

  /** Applies new limits. */
  applyLimits(limits: CallerLimits): void {
    this.#limits = limits;
    this.#headerTimeout.applyTimeout(limits.headerTimeoutMs);
    // Also closes connections that have never sent a request.
    this.#server.headersTimeout = Math.max(limits.headerTimeoutMs, limits.idleTimeoutMs);
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Starts listening. */
  listen(): Promise<void> {
    const { ip, port } = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host: ip, port, backlog: BACKLOG }, resolve);
    });
  }

  /** The port on which the server listens; 0 before. */
  get port(): number {
    const bound = this.#server.address();
    return typeof bound === 'object' && bound !== null ? bound.port : 0;
  }

  /** Starts or stops closing each connection after its next response. */
  drainConnections(isDraining = true): void {
    this.#isDraining = isDraining;
  }

  /** Stops listening and closes all connections. */
  abort(): void {
    this.#isAborted = true;
    this.#headerTimeout.close();
    this.#intake.close();
    this.#limiter.close();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Resets all connections that wait to be accepted; those that are open stay. */
  #resetListenQueue(): void {
    const { port } = this;
    if (this.#isAborted || port === 0) return;
    // The `close` of an HTTP server would close its idle connections as well.
    NetServer.prototype.close.call(this.#server);
    this.#listenAgain(port);
    this.#options.onListenQueueReset?.();
  }

  #listenAgain(port: number): void {
    if (this.#isAborted) return;
    const handleError = (error: Error): void => {
      this.#options.onListenFailed?.(error);
      setTimeout(() => this.#listenAgain(port), LISTEN_RETRY_INTERVAL_MS);
    };
    this.#server.once('error', handleError);
    this.#server.listen({ host: this.#options.ip, port, backlog: BACKLOG }, () => {
      this.#server.off('error', handleError);
    });
  }

  #readRequest(request: IncomingMessage, response: ServerResponse): void {
    // The rest of what was read from a connection that is closed meanwhile.
    if (request.socket.destroyed) return;
    this.#headerTimeout.noteHeadersComplete(request);
    response.sendDate = false;
    this.#openRequests += 1;
    let isOpen = true;
    const body = new RequestBody();
    const handleClose = (): void => {
      body.clear();
      response.off('close', handleClose);
      request.socket.off('close', handleClose);
      // The close of the socket is what closes the response, and both call this.
      if (isOpen) this.#openRequests -= 1;
      isOpen = false;
    };
    response.once('close', handleClose);
    request.socket.once('close', handleClose);
    this.#rejectEarlyWithoutBody(request, response);
    const reading = this.#limiter.read(request, () => {
      body.clear();
      refuseRequest(request, response);
    });
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      if (!isOpen) return;
      size += chunk.length;
      if (response.headersSent) {
        // The rest of the body of a rejected request is discarded, up to the limit.
        if (size > this.#limits.maxBodyBytes) request.destroy();
        return;
      }
      if (size > this.#limits.maxBodyBytes) {
        body.clear();
        rejectRequest(request, response, PAYLOAD_TOO_LARGE);
      } else {
        body.append(chunk);
      }
      reading.hold(body.heldBytes);
    });
    request.once('end', () => {
      reading.complete();
      if (response.writableEnded) return;
      if (headerBytes(request) > this.#limits.maxHeaderBytes) {
        rejectRequest(request, response, HEADER_FIELDS_TOO_LARGE);
      } else {
        this.#handle(request, response, body.take());
      }
    });
    // A lost connection is handled by the `close` event of the response.
    request.on('error', () => undefined);
    response.on('error', () => undefined);
  }

  /** Lets a request be rejected by its headers alone. Returns whether it was. */
  #rejectEarly(request: IncomingMessage, response: ServerResponse): boolean {
    const { rejectEarly = () => false } = this.#options;
    return rejectEarly({
      path: request.url ?? '/',
      headers: request.rawHeaders,
      response: this.#createResponse(request, response),
    });
  }

  /** Lets a request be rejected by its headers, unless its body has arrived with them. */
  #rejectEarlyWithoutBody(request: IncomingMessage, response: ServerResponse): void {
    if (this.#options.rejectEarly === undefined) return;
    setImmediate(() => {
      if (request.complete || request.destroyed || response.headersSent) return;
      this.#rejectEarly(request, response);
    });
  }

  /** Asks for the body of a request that waits for the answer to its headers, unless these are rejected. */
  #readRequestAfterContinue(request: IncomingMessage, response: ServerResponse): void {
    response.sendDate = false;
    // Nobody can tell whether the body follows a rejection.
    response.shouldKeepAlive = false;
    if (this.#rejectEarly(request, response)) return;
    response.shouldKeepAlive = true;
    response.writeContinue();
    this.#readRequest(request, response);
  }

  #handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const { handle, onCallerGone: onGone = () => undefined } = this.#options;
    const describe = (arrival: RequestArrival): CallerRequest => ({
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: request.rawHeaders,
      body,
      arrival,
      response: this.#createResponse(request, response),
    });
    this.#intake.add({
      request,
      response,
      handle: (arrival) => handle(describe(arrival)),
      onCallerGone: (arrival) => onGone(describe(arrival)),
    });
  }

  #createResponse(request: IncomingMessage, response: ServerResponse): CallerResponse {
    let endsWithConnection = false;
    return {
      begin: ({ status, statusText, headers }) => {
        // A truncated response in chunks never looks complete, even if this process ends.
        endsWithConnection = !response.useChunkedEncodingByDefault && !hasLength(headers);
        if (this.#isDraining || endsWithConnection) response.shouldKeepAlive = false;
        response.writeHead(status, statusText, [...headers]);
      },
      write: (chunk) => response.write(chunk),
      end: (last) => {
        response.end(last);
      },
      abort: () => {
        if (endsWithConnection) request.socket.resetAndDestroy();
        else request.socket.destroy();
      },
      hasBegun: () => response.headersSent,
      onDrain: (run) => {
        response.once('drain', run);
      },
      onDisconnect: (run) => {
        onCallerGone(request, response, run);
      },
    };
  }
}
