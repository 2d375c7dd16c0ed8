import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { NoticeRegistry } from '../../core/serverNotices/mod.ts';
import type { ServerStart } from '../../core/serverNotices/mod.ts';
import type { BackendServer } from '../../core/serving/mod.ts';
import { limitLogRate } from '../../log/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import type { ResponseHeaders } from '../../platform/mod.ts';

/** Options of `ServerNotices`. */
export type ServerNoticesOptions = {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Called when a server is to get no more requests, for now or for good. */
  readonly onBlocked: (serverId: string) => void;
  /** Called after each change that the other entries should learn. */
  readonly onChange: () => void;
};

/** Status with which a server says when it takes requests again. */
const UNAVAILABLE_STATUS = 503;

/** What backend servers say of themselves in their answers. */
export class ServerNotices {
  readonly registry: NoticeRegistry;

  readonly #options: ServerNoticesOptions;

  readonly #rateLimitedLog: Log;

  constructor(options: ServerNoticesOptions) {
    const { clock, log, metrics, onBlocked } = options;
    this.#options = options;
    this.#rateLimitedLog = limitLogRate(log, clock);
    this.registry = new NoticeRegistry({
      onLeaving: (server, source) => {
        log('serverLeaving', { server, source });
        onBlocked(server);
      },
      onPause: (server, pauseMs, source) => {
        log('serverPaused', { server, pauseMs: Math.round(pauseMs), source });
        onBlocked(server);
      },
      onChange: options.onChange,
    });
    metrics.gauge('leaving_servers', () => this.registry.leavingCount);
  }

  /** Records that a server is listed; one that drains leaves for good. */
  noteRecord(server: BackendServer): void {
    if (server.state !== 'draining') return;
    this.registry.noteLeaving(server, 'record', this.#options.clock.now());
  }

  /** Records that a request is sent to a server. */
  noteSent(server: ServerStart): void {
    this.registry.noteSent(server, this.#options.clock.now());
  }

  /** Forgets the notices of servers that are no longer listed. Call it from time to time. */
  tick(isListed: (id: string) => boolean): void {
    this.registry.tick(isListed, this.#options.clock.now());
  }

  /**
   * Records what the head of a response says of its server; all responses count, since each comes from the
   * process at the server's address.
   *
   * @param sentAt When the request was sent.
   */
  noteHead(
    server: ServerStart,
    sentAt: Milliseconds,
    status: number,
    response: ResponseHeaders,
  ): void {
    const now = this.#options.clock.now();
    const { serverLeaving, retryAfter } = response;
    if (serverLeaving?.kind === 'leaving') {
      this.registry.noteLeaving(server, 'answer', now);
    } else if (serverLeaving !== undefined) {
      this.#logInvalid(server, 'leaving', serverLeaving.text);
    }
    if (status !== UNAVAILABLE_STATUS || retryAfter === undefined) {
      this.registry.noteAnswer(server, sentAt);
    } else if (retryAfter.kind === 'delay') {
      this.registry.notePause(server, retryAfter.delayMs, now);
    } else {
      this.#logInvalid(server, 'retry-after', retryAfter.text);
    }
  }

  #logInvalid({ id }: ServerStart, notice: string, value: string): void {
    this.#rateLimitedLog('serverNoticeInvalid', { server: id, notice, value });
  }
}
