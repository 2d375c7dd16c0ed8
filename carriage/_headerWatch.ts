import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Milliseconds } from '../core/clock/mod.ts';

/** What is known of one caller's connection. */
type Watched = {
  /** Bytes that had been read when the last request was complete. */
  bytesBefore: number;
  /** Whether a request's headers are there and its body is not. */
  isInBody: boolean;
  /** When the first bytes of headers were seen that are not complete. */
  beganAt: Milliseconds | undefined;
};

/** Time between looks. */
const LOOK_MS: Milliseconds = 250;

const TIMED_OUT = 'HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n';

/**
 * Ends connections whose callers have begun to send headers and do not go on.
 *
 * Node.js counts the time from the opening of a connection; callers may open one long before they use
 * it, and such a connection is idle, not late.
 */
export class HeaderWatch {
  readonly #watched = new Map<Socket, Watched>();

  readonly #timer: NodeJS.Timeout;

  #limitMs: Milliseconds;

  /** @param limitMs Time from the first byte of headers to their end. */
  constructor(limitMs: Milliseconds) {
    this.#limitMs = limitMs;
    this.#timer = setInterval(() => this.#look(), LOOK_MS);
    this.#timer.unref();
  }

  /** Puts another limit in force. */
  applyLimit(limitMs: Milliseconds): void {
    this.#limitMs = limitMs;
  }

  /** Watches a new connection. */
  add(socket: Socket): void {
    this.#watched.set(socket, { bytesBefore: 0, isInBody: false, beganAt: undefined });
    socket.once('close', () => this.#watched.delete(socket));
  }

  /** Notes that the headers of a request are complete. */
  noteHeaders(request: IncomingMessage): void {
    const watched = this.#watched.get(request.socket);
    if (watched === undefined) return;
    watched.isInBody = true;
    watched.beganAt = undefined;
    request.once('close', () => {
      watched.isInBody = false;
      watched.bytesBefore = request.socket.bytesRead;
    });
  }

  /** Looks no more. */
  close(): void {
    clearInterval(this.#timer);
  }

  #look(): void {
    const now = performance.now();
    this.#watched.forEach((watched, socket) => {
      if (watched.isInBody || socket.bytesRead === watched.bytesBefore) return;
      watched.beganAt ??= now;
      if (now - watched.beganAt < this.#limitMs) return;
      this.#watched.delete(socket);
      socket.write(TIMED_OUT);
      socket.destroySoon();
    });
  }
}
