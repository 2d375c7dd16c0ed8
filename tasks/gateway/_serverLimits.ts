import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { MISDIRECTED_STATUS } from '../../core/dispatch/mod.ts';
import { LimitRegistry } from '../../core/serverLimits/mod.ts';
import type { PermitAnswer, PermitDemand, Reach } from '../../core/serverLimits/mod.ts';
import { limitLogRate } from '../../log/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import type { ResponseHeaders } from '../../platform/mod.ts';
import type { Dial } from '../ports/mod.ts';
import type { OpenRequest } from './_openRequest.ts';
import { PermitTask } from './permitTask.ts';

/** Options of `ServerLimits`. */
export type ServerLimitsOptions = {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly dial: Dial;
  /** Name of this entry among its peers. */
  readonly self: string;
  /** Returns the names of the other live entries. */
  readonly peers: () => readonly string[];
  /** Returns how many of the known entries are in touch with this one. */
  readonly reach: () => Reach;
  /** Called with each answer to a request for a permit. */
  readonly onAnswer: (answer: PermitAnswer) => void;
  /** Called after each change that the other entries should learn. */
  readonly onChange: () => void;
};

/** The limits that backend servers name, and how one entry keeps to them together with the others. */
export class ServerLimits {
  readonly registry: LimitRegistry;

  readonly permits: PermitTask;

  readonly #options: ServerLimitsOptions;

  readonly #rateLimitedLog: Log;

  constructor(options: ServerLimitsOptions) {
    const { log, metrics, clock } = options;
    this.#options = options;
    this.#rateLimitedLog = limitLogRate(log, clock);
    this.registry = new LimitRegistry({
      onLimit: ({ server, perSecond, isEnded }, source) =>
        log(isEnded ? 'serverLimitEnded' : 'serverLimitNamed', { server, perSecond, source }),
      onChange: options.onChange,
    });
    this.permits = new PermitTask({ ...options, registry: this.registry });
    metrics.gauge('limited_servers', () => this.registry.size);
  }

  /** Whether a server names a limit, or did so until a short time ago. */
  isLimited(serverId: string): boolean {
    return this.registry.rateOf(serverId, this.#options.clock.now()) !== undefined;
  }

  /** Whether a request may be sent to a server now. */
  isOpen(serverId: string): boolean {
    return !this.isLimited(serverId) || this.permits.has(serverId);
  }

  /** Whether it is not known for certain that a server still names its limit. */
  isUnconfirmed(serverId: string): boolean {
    return this.registry.isUnconfirmed(serverId, this.#options.clock.now());
  }

  /** Requests a second that a server takes now; infinite without a limit. */
  rateOf(serverId: string): number {
    return this.registry.rateOf(serverId, this.#options.clock.now()) ?? Infinity;
  }

  /** Expected time until a server with a limit takes a request; 0 if nothing is known. */
  waitMs(serverId: string): Milliseconds {
    return this.isOpen(serverId) ? 0 : this.permits.waitMs(serverId);
  }

  /** Requests a permit for a server with a limit, unless one is at hand or has been requested. */
  requestPermit(serverId: string, demand: PermitDemand): void {
    if (this.isLimited(serverId)) this.permits.request(serverId, demand);
  }

  /** Records that a request is sent to a server, which uses up a permit if the server has a limit. */
  noteSent(serverId: string): void {
    if (!this.isLimited(serverId)) return;
    const hasPermit = this.permits.take(serverId) ? 'yes' : 'no';
    this.#options.metrics.count('limited_requests_total', { server: serverId, hasPermit });
  }

  /** Records that a server has started again under its id. */
  noteRestart(serverId: string): void {
    this.registry.noteRestart(serverId, this.#options.clock.now());
  }

  /** Forgets a server that was removed. */
  forget(serverId: string): void {
    this.registry.forget(serverId);
    this.permits.forget(serverId);
  }

  /** Records what the head of a response says of its server. */
  noteHead(request: OpenRequest, status: number, response: ResponseHeaders): void {
    const { clock } = this.#options;
    const { view, head, sentAt } = request;
    const { requestId, hasProof, isNotRun, serverLimit } = response;
    // Another server, or the response to another request.
    if (view === undefined || requestId !== head.requestId || status === MISDIRECTED_STATUS) return;
    const { id } = view.server;
    if (serverLimit?.kind === 'invalid') {
      this.#rateLimitedLog('serverLimitInvalid', { server: id, value: serverLimit.text });
    } else if (serverLimit !== undefined && (hasProof || isNotRun)) {
      this.registry.noteNamed(id, serverLimit.perSecond, sentAt, clock.now());
    } else if (serverLimit === undefined && hasProof) {
      this.registry.noteUnnamed(id, sentAt, clock.now());
    }
  }
}
