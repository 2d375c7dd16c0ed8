import type { Cancellation, Milliseconds } from '../core/clock/mod.ts';
import type { SocketReads } from '../http/mod.ts';
import { readFirstClock } from '../transport/mod.ts';
import type { BackendRequest, RequestHandle, ResponseEvents } from './backendConnections.ts';
import type { Connection } from './_connection.ts';

/** Options of `Sending`. */
export type SendingOptions = {
  readonly request: BackendRequest;
  readonly events: ResponseEvents;
  /** Timeout for opening a connection. */
  readonly connectTimeoutMs: Milliseconds;
  readonly socketReads: Pick<SocketReads, 'isRecent' | 'afterRead'>;
  /** Returns a connection without a request. Throws if there is none. */
  readonly acquire: () => Connection;
  /** Makes a connection available to other requests. */
  readonly release: (connection: Connection) => void;
  /** Closes a connection. */
  readonly discard: (connection: Connection) => void;
};

const FIRST_INTERIM_STATUS = 100;

/** Lower statuses are interim (1xx) responses. */
const FIRST_FINAL_STATUS = 200;

const LAST_STATUS = 599;

/** Returns the length that a response head declares; `undefined` if it declares none. */
function declaredLength(raw: readonly string[]): number | undefined {
  const index = raw.findIndex(
    (text, at) => at % 2 === 0 && text.toLowerCase() === 'content-length',
  );
  return index < 0 ? undefined : Number(raw[index + 1]);
}

const doNothing = (): void => undefined;

/**
 * One request to a backend server.
 *
 * It is written only while the callers' sockets have been read a moment ago: a caller may have left in a long
 * turn of the event loop without anybody knowing.
 */
export class Sending implements RequestHandle {
  readonly #options: SendingOptions;

  #connection: Connection | undefined;

  #isFinished = false;

  #wasSent = false;

  #resumeBody: () => void = doNothing;

  #cancelTimeout: Cancellation = doNothing;

  #cancelWait: Cancellation = doNothing;

  constructor(options: SendingOptions) {
    this.#options = options;
  }

  /** Takes a connection and writes the request once the callers' sockets have been read. */
  start(): void {
    const { acquire, connectTimeoutMs, socketReads } = this.#options;
    let connection: Connection;
    try {
      connection = acquire();
    } catch (error) {
      const reason = error instanceof Error ? error : new Error(String(error));
      queueMicrotask(() => this.#fail(reason));
      return;
    }
    this.#connection = connection;
    connection.bodyBytes = 0;
    connection.isPaused = false;
    connection.bytesReadBefore = connection.socket?.bytesRead ?? 0;
    connection.onOverhead = () => this.#fail(new Error('the response has no end outside its body'));
    connection.onSocketEnd = () => this.#resumeBody();
    this.#cancelTimeout = readFirstClock.schedule(connectTimeoutMs, () => {
      if (connection.socket !== undefined) return;
      this.#fail(new Error(`no connection within ${connectTimeoutMs} ms`));
    });
    this.#cancelWait = socketReads.afterRead(() => this.#write(connection));
  }

  /** Resumes a paused response body. */
  resume(): void {
    // The connection may carry another response by then.
    if (this.#isFinished || this.#connection === undefined) return;
    this.#connection.isPaused = false;
    this.#resumeBody();
  }

  /** Aborts the request and closes its connection; no handler is called afterwards. */
  abort(): void {
    if (this.#isFinished) return;
    this.#finish();
    this.#discard();
  }

  #finish(): void {
    this.#isFinished = true;
    this.#cancelTimeout();
    this.#cancelWait();
  }

  #discard(): void {
    if (this.#connection !== undefined) this.#options.discard(this.#connection);
  }

  #fail(error: Error): void {
    if (this.#isFinished) return;
    this.abort();
    this.#options.events.failed(error, this.#wasSent);
  }

  #write(connection: Connection): void {
    const { request, events, release, socketReads } = this.#options;
    let isUnread = false;
    let bodyLength: number | undefined;
    const isKept = connection.socket !== undefined;
    connection.client.dispatch(
      {
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body.length > 0 ? request.body : null,
      },
      {
        onConnect: (abort) => {
          // undici checks a connection that was in use before for a whole turn of the event loop.
          if (socketReads.isRecent) {
            this.#wasSent = true;
            request.onWrite?.();
          } else {
            isUnread = true;
            abort();
          }
        },
        onHeaders: (status, headers, resumeBody, statusText) => {
          this.#resumeBody = resumeBody;
          if (status < FIRST_INTERIM_STATUS || status > LAST_STATUS) {
            this.#fail(new Error(`HTTP does not define the status ${status} of the response`));
            return false;
          }
          if (this.#isFinished || status < FIRST_FINAL_STATUS) return true;
          const raw = (headers ?? []).map((part) => part.toString('latin1'));
          bodyLength = declaredLength(raw);
          if (events.head(status, raw, statusText)) return true;
          this.abort();
          return false;
        },
        onData: (chunk) => {
          // The parser repeats its last call without bytes when it resumes.
          if (chunk.length === 0) return true;
          connection.bodyBytes += chunk.length;
          if (this.#isFinished) return false;
          const canTakeMore = events.data(chunk);
          // A reset while the body is paused would lose a response that is complete.
          const isLast = !this.#isFinished && connection.bodyBytes === bodyLength;
          connection.isPaused = !canTakeMore && !isLast;
          return !connection.isPaused;
        },
        onComplete: () => {
          if (this.#isFinished) return;
          if (connection.socketState.wasReset) {
            this.#fail(new Error('the connection was reset before the response was complete'));
            return;
          }
          this.#finish();
          events.end();
          // undici detects bytes after the response only when it reads again.
          setImmediate(() => release(connection));
        },
        onError: (error) => {
          // A kept connection that ended before it was written to says nothing of its server.
          const isUnused = isUnread || (isKept && !this.#wasSent);
          if (isUnused && !this.#isFinished) this.start();
          else this.#fail(error);
        },
      },
    );
  }
}
