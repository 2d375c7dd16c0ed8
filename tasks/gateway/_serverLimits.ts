import type { Clock } from '../../core/clock/mod.ts';
import { MISDIRECTED_STATUS } from '../../core/dispatch/mod.ts';
import { LimitRegistry } from '../../core/serverLimits/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import type { ResponseHeaders } from '../../platform/mod.ts';
import type { OpenRequest } from './_openRequest.ts';

/** Options of `ServerLimits`. */
export type ServerLimitsOptions = {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** The limits that backend servers name, as one entry sees them. */
export class ServerLimits {
  readonly registry: LimitRegistry;

  readonly #options: ServerLimitsOptions;

  constructor(options: ServerLimitsOptions) {
    const { log, metrics } = options;
    this.#options = options;
    this.registry = new LimitRegistry({
      onLimit: ({ server, perSecond, isEnded }, source) =>
        log(isEnded ? 'serverLimitEnded' : 'serverLimitNamed', { server, perSecond, source }),
      onChange: () => undefined,
    });
    metrics.gauge('limited_servers', () => this.registry.size);
  }

  /** Records that a request is sent to a server. */
  noteSent(serverId: string): void {
    const { clock, metrics } = this.#options;
    if (this.registry.rateOf(serverId, clock.now()) === undefined) return;
    metrics.count('limited_requests_total', { server: serverId });
  }

  /** Records what the head of a response says of its server. */
  noteHead(request: OpenRequest, status: number, response: ResponseHeaders): void {
    const { clock, log } = this.#options;
    const { view, head, sentAt } = request;
    const { requestId, hasProof, isNotRun, serverLimit } = response;
    // Another server, or the response to another request.
    if (view === undefined || requestId !== head.requestId || status === MISDIRECTED_STATUS) return;
    const { id } = view.server;
    if (serverLimit?.kind === 'invalid') {
      log('serverLimitInvalid', { server: id, value: serverLimit.text });
    } else if (serverLimit !== undefined && (hasProof || isNotRun)) {
      this.registry.noteNamed(id, serverLimit.perSecond, sentAt, clock.now());
    } else if (serverLimit === undefined && hasProof) {
      this.registry.noteUnnamed(id, sentAt, clock.now());
    }
  }
}
