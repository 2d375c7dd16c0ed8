import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { CallerLimits } from '../core/serving/mod.ts';
import { HeaderWatch } from './_headerWatch.ts';

/** A caller's request whose body has been read whole. */
export type CallerRequest = {
  readonly method: string;
  /** Path and query, byte for byte. */
  readonly path: string;
  /** Names and values by turns. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly answer: CallerAnswer;
};

/** The beginning of an answer. */
export type CallerAnswerHead = {
  readonly status: number;
  readonly statusText: string;
  /** Names and values by turns. */
  readonly headers: readonly string[];
  /**
   * Whether the answer shows by itself where it ends. One that came without a length is passed on
   * without: should its server have ended early, it does not look whole.
   */
  readonly isFramed: boolean;
};

/** The answer to one request. */
export type CallerAnswer = {
  /** Begins the answer. */
  readonly begin: (head: CallerAnswerHead) => void;
  /** Writes a piece; returns false when the caller reads too slowly to take more now. */
  readonly write: (piece: Buffer) => boolean;
  /** Ends a whole answer. */
  readonly end: (last?: string) => void;
  /** Breaks the connection off, by a reset where an orderly end would look whole. */
  readonly breakOff: () => void;
  /** Whether the answer has begun. */
  readonly hasBegun: () => boolean;
  /** Calls once when the caller takes pieces again. */
  readonly onDrain: (run: () => void) => void;
  /** Calls once when the caller has closed its connection before the answer was whole. */
  readonly onGone: (run: () => void) => void;
};

/** How to build a `CallerServer`. */
export type CallerServerOptions = {
  readonly ip: string;
  readonly port: number;
  readonly limits: CallerLimits;
  readonly handle: (request: CallerRequest) => void;
};

const PAYLOAD_TOO_LARGE = 413;

const HEADERS_TOO_LARGE = 431;

/** Largest header block that the parser takes; the configured limit is checked beside it. */
const PARSER_HEADER_BYTES = 65_536;

/** Space that `name: value` and its line end take beside the two texts. */
const HEADER_LINE_BYTES = 4;

function headerBytes(request: IncomingMessage): number {
  return request.rawHeaders.reduce((sum, text) => sum + text.length + HEADER_LINE_BYTES / 2, 0);
}

/** Answers a request that breaks a limit, and closes its connection since its rest is not read. */
function refuse(request: IncomingMessage, response: ServerResponse, status: number): void {
  if (response.headersSent) return;
  request.removeAllListeners('data');
  request.resume();
  response.writeHead(status, { 'content-length': 0, connection: 'close' });
  response.end();
}

/** Serves callers over HTTP/1.1. */
export class CallerServer {
  readonly #server: Server;

  readonly #options: CallerServerOptions;

  readonly #headerWatch: HeaderWatch;

  #limits: CallerLimits;

  #isLeaving = false;

  #open = 0;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#limits = options.limits;
    this.#headerWatch = new HeaderWatch(options.limits.headerTimeoutMs);
    this.#server = createServer(
      {
        maxHeaderSize: PARSER_HEADER_BYTES,
        requestTimeout: 0,
        keepAlive: true,
        noDelay: true,
      },
      (request, response) => this.#read(request, response),
    );
    this.#server.on('connection', (socket) => this.#headerWatch.add(socket));
    this.applyLimits(options.limits);
  }

  /** Requests that are being read or answered. */
  get open(): number {
    return this.#open;
  }

  /** Puts new limits in force. */
  applyLimits(limits: CallerLimits): void {
    this.#limits = limits;
    this.#headerWatch.applyLimit(limits.headerTimeoutMs);
    // Ends connections that were opened and never used.
    this.#server.headersTimeout = Math.max(limits.headerTimeoutMs, limits.idleTimeoutMs);
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Begins to listen. */
  listen(): Promise<void> {
    const { ip, port } = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host: ip, port, backlog: 1024 }, resolve);
    });
  }

  /** The port in use. */
  get port(): number {
    const bound = this.#server.address();
    return typeof bound === 'object' && bound !== null ? bound.port : 0;
  }

  /** Tells callers with each answer to use another connection, or no longer does. */
  askToLeave(isLeaving = true): void {
    this.#isLeaving = isLeaving;
  }

  /** Closes all connections. */
  abort(): void {
    this.#headerWatch.close();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #read(request: IncomingMessage, response: ServerResponse): void {
    this.#headerWatch.noteHeaders(request);
    response.sendDate = false;
    this.#open += 1;
    response.once('close', () => {
      this.#open -= 1;
    });
    const pieces: Buffer[] = [];
    let size = 0;
    request.on('data', (piece: Buffer) => {
      size += piece.length;
      if (size <= this.#limits.maxBodyBytes) pieces.push(piece);
      else refuse(request, response, PAYLOAD_TOO_LARGE);
    });
    request.once('end', () => {
      if (response.writableEnded) return;
      if (headerBytes(request) > this.#limits.maxHeaderBytes) {
        refuse(request, response, HEADERS_TOO_LARGE);
      } else {
        this.#handle(request, response, Buffer.concat(pieces));
      }
    });
    // A caller that breaks off is noticed by the close of its response.
    request.on('error', () => undefined);
    response.on('error', () => undefined);
  }

  #handle(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    this.#options.handle({
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: request.rawHeaders,
      body,
      answer: this.#answerOf(request, response),
    });
  }

  #answerOf(request: IncomingMessage, response: ServerResponse): CallerAnswer {
    let isUnframed = false;
    return {
      begin: ({ status, statusText, headers, isFramed }) => {
        if (this.#isLeaving || !isFramed) response.shouldKeepAlive = false;
        isUnframed = !isFramed;
        if (isUnframed) response.useChunkedEncodingByDefault = false;
        response.writeHead(status, statusText, [...headers]);
      },
      write: (piece) => response.write(piece),
      end: (last) => {
        response.end(last);
      },
      breakOff: () => {
        if (isUnframed) request.socket.resetAndDestroy();
        else request.socket.destroy();
      },
      hasBegun: () => response.headersSent,
      onDrain: (run) => {
        response.once('drain', run);
      },
      onGone: (run) => {
        response.once('close', () => {
          if (!response.writableFinished) run();
        });
      },
    };
  }
}
