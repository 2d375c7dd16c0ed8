import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Milliseconds } from '../core/clock/mod.ts';

/** Parsing state of one connection. */
type ConnectionState = {
  /** Bytes read from the socket when the last request ended. */
  bytesReadBefore: number;
  /** Whether the headers of a request are complete and its body is not. */
  isInBody: boolean;
  /** When incomplete headers were first detected, by `performance.now()`. */
  headersBeganAt: Milliseconds | undefined;
};

/** Interval between checks of all connections. */
const CHECK_INTERVAL_MS: Milliseconds = 250;

const TIMEOUT_RESPONSE =
  'HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n';

/**
 * Closes connections whose request headers do not arrive in time.
 *
 * The headers timeout of Node.js starts when a connection opens, but a connection that has not sent
 * anything yet is idle, not late.
 */
export class HeaderTimeout {
  readonly #connections = new Map<Socket, ConnectionState>();

  readonly #timer: NodeJS.Timeout;

  #timeoutMs: Milliseconds;

  /** @param timeoutMs Longest time from the first byte of the headers to their end. */
  constructor(timeoutMs: Milliseconds) {
    this.#timeoutMs = timeoutMs;
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Changes the timeout. */
  applyTimeout(timeoutMs: Milliseconds): void {
    this.#timeoutMs = timeoutMs;
  }

  /** Adds a new connection. */
  add(socket: Socket): void {
    this.#connections.set(socket, {
      bytesReadBefore: 0,
      isInBody: false,
      headersBeganAt: undefined,
    });
    socket.once('close', () => this.#connections.delete(socket));
  }

  /** Records that the headers of a request are complete. */
  noteHeadersComplete(request: IncomingMessage): void {
    const state = this.#connections.get(request.socket);
    if (state === undefined) return;
    state.isInBody = true;
    state.headersBeganAt = undefined;
    request.once('close', () => {
      state.isInBody = false;
      state.bytesReadBefore = request.socket.bytesRead;
    });
  }

  /** Stops the checks. */
  close(): void {
    clearInterval(this.#timer);
  }

  #check(): void {
    const now = performance.now();
    this.#connections.forEach((state, socket) => {
      if (state.isInBody || socket.bytesRead === state.bytesReadBefore) return;
      state.headersBeganAt ??= now;
      if (now - state.headersBeganAt < this.#timeoutMs) return;
      this.#connections.delete(socket);
      socket.write(TIMEOUT_RESPONSE);
      socket.destroySoon();
    });
  }
}
