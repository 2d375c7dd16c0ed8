import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { LimitedServers, ServerView } from '../../core/dispatch/mod.ts';
import { priorityOf } from '../../core/tenants/mod.ts';
import { tenantOf } from './_openRequest.ts';
import type { OpenRequest } from './_openRequest.ts';
import type { ServerLimits } from './_serverLimits.ts';

/** Options of `LimitGate`. */
export type LimitGateOptions = {
  readonly clock: Clock;
  readonly limits: Pick<
    ServerLimits,
    'isLimited' | 'isUnconfirmed' | 'isOpen' | 'rateOf' | 'waitMs' | 'requestPermit'
  >;
  /** Chooses a server for a request and sends it. */
  readonly dispatch: (request: OpenRequest) => void;
  /** Refuses a request that no server takes in time. */
  readonly refuse: (request: OpenRequest, retryAfterMs: Milliseconds) => void;
};

/** Interval at which permits are requested again while requests wait. */
const REQUEST_INTERVAL_MS: Milliseconds = 50;

/** Longest wait for a permit that the next request can use as well. */
const ADVANCE_WAIT_MS: Milliseconds = 1000;

/** Expected wait up to which a permit counts as imminent, and longest time to wait for one. */
const IMMINENT_MS: Milliseconds = 50;

/** Lead of each step of urgency over requests that arrived earlier. */
const PRIORITY_STEP_MS: Milliseconds = 200;

/** Shortest `Retry-After`. */
const MIN_RETRY_AFTER_MS: Milliseconds = 300;

const MILLISECONDS_IN_SECOND = 1000;

type Waiting = {
  readonly request: OpenRequest;
  readonly views: readonly ServerView[];
  readonly until: Milliseconds;
  /** Whether it is dispatched again if no permit comes at once. */
  readonly isBrief: boolean;
};

/** Holds requests until they may be sent to a server with a limit, or refuses them. */
export class LimitGate {
  readonly #options: LimitGateOptions;

  readonly #waiting = new Map<OpenRequest, Waiting>();

  #cancelRequests: Cancellation | undefined;

  constructor(options: LimitGateOptions) {
    this.#options = options;
  }

  /** Returns which servers name a limit, and requests permits for those that the request might use. */
  limitedServers(request: OpenRequest, views: readonly ServerView[]): LimitedServers {
    const { limits } = this.#options;
    const limited = views.filter(({ server }) => limits.isLimited(server.id));
    const { modelName } = request.head;
    const isPlain = request.service.engine === undefined || modelName === undefined;
    limited
      .filter((view) => view.isReady && (isPlain || view.holds(modelName, 0)))
      .forEach((view) => this.#requestPermit(request, view));
    const named = limited.map(({ server }) => server.id);
    const permitted = named.filter((id) => limits.isOpen(id));
    const unconfirmed = permitted.filter((id) => limits.isUnconfirmed(id));
    const imminent = request.hasAwaitedPermit
      ? []
      : named.filter((id) => !limits.isOpen(id) && limits.waitMs(id) <= IMMINENT_MS);
    return {
      named: new Set(named),
      permitted: new Set(permitted),
      unconfirmed: new Set(unconfirmed),
      imminent: new Set(imminent),
    };
  }

  /** Holds a request until one of the servers takes it, or refuses it if none will in time. */
  hold(request: OpenRequest, views: readonly ServerView[], maxWaitMs: Milliseconds): void {
    request.permitWaitUntil ??= this.#options.clock.now() + maxWaitMs;
    const waiting = { request, views, until: request.permitWaitUntil, isBrief: false };
    this.#add(waiting);
    if (!this.#refuseIfLate(waiting)) this.#dispatchAtEnd(waiting);
  }

  /** Holds a request for a moment; it is dispatched again in any case. */
  holdBriefly(request: OpenRequest, views: readonly ServerView[]): void {
    request.hasAwaitedPermit = true;
    const until = this.#options.clock.now() + IMMINENT_MS;
    const waiting = { request, views, until, isBrief: true };
    this.#add(waiting);
    this.#dispatchAtEnd(waiting);
  }

  /** Dispatches the most urgent requests that a server takes now, and refuses those that it cannot take in time. */
  noteAnswer(serverId: string): void {
    const { limits, dispatch } = this.#options;
    this.#ordered(serverId).forEach((waiting) => {
      const { request, views, isBrief } = waiting;
      const isImminent = (): boolean =>
        views.some(({ server }) => limits.waitMs(server.id) <= IMMINENT_MS);
      if (limits.isOpen(serverId) || (isBrief && !isImminent())) {
        if (this.#waiting.delete(request)) dispatch(request);
      } else if (!isBrief) {
        this.#refuseIfLate(waiting);
      }
    });
  }

  /** Dispatches again the requests that wait for a server which gets no more. */
  noteBlocked(serverId: string): void {
    this.#ordered(serverId).forEach(({ request }) => {
      if (this.#waiting.delete(request)) this.#options.dispatch(request);
    });
  }

  /** Forgets a request that has ended. */
  forget(request: OpenRequest): void {
    this.#waiting.delete(request);
  }

  #add(waiting: Waiting): void {
    const { request, views } = waiting;
    this.#waiting.set(request, waiting);
    views.forEach((view) => this.#requestPermit(request, view));
    this.#scheduleRequests();
  }

  #dispatchAtEnd(waiting: Waiting): void {
    const { clock, dispatch } = this.#options;
    const { request, until } = waiting;
    request.timers.push(
      clock.schedule(until - clock.now(), () => {
        if (this.#waiting.get(request) !== waiting) return;
        this.#waiting.delete(request);
        dispatch(request);
      }),
    );
  }

  /** The requests that wait for a server, the most urgent first. */
  #ordered(serverId: string): readonly Waiting[] {
    const rank = ({ request }: Waiting): Milliseconds =>
      request.acceptedAt + priorityOf(request.route, tenantOf(request)) * PRIORITY_STEP_MS;
    return [...this.#waiting.values()]
      .filter(({ views }) => views.some(({ server }) => server.id === serverId))
      .sort((a, b) => rank(a) - rank(b));
  }

  /** Refuses a request whose turn at none of its servers comes in time. Returns whether it did. */
  #refuseIfLate(waiting: Waiting): boolean {
    const { clock, refuse } = this.#options;
    const { request, views, until } = waiting;
    const waitMs = Math.min(...views.map((view) => this.#expectedWaitMs(request, view)));
    const leftMs = until - clock.now();
    if (leftMs > 0 && waitMs <= leftMs) return false;
    this.#waiting.delete(request);
    refuse(request, Math.max(MIN_RETRY_AFTER_MS, waitMs));
    return true;
  }

  /** The least time until a server takes a request: what its permits need for all that are ahead of it. */
  #expectedWaitMs(request: OpenRequest, { server }: ServerView): Milliseconds {
    const { limits } = this.#options;
    const ordered = this.#ordered(server.id);
    const ahead = ordered.findIndex((waiting) => waiting.request === request);
    const aheadMs = (Math.max(0, ahead) * MILLISECONDS_IN_SECOND) / limits.rateOf(server.id);
    return Math.max(limits.waitMs(server.id), aheadMs);
  }

  #requestPermit(request: OpenRequest, { server }: ServerView): void {
    this.#options.limits.requestPermit(server.id, {
      priority: priorityOf(request.route, tenantOf(request)),
      maxWaitMs: ADVANCE_WAIT_MS,
    });
  }

  /** Requests permits for the waiting requests again from time to time, since earlier ones may be denied. */
  #scheduleRequests(): void {
    this.#cancelRequests ??= this.#options.clock.schedule(REQUEST_INTERVAL_MS, () => {
      this.#cancelRequests = undefined;
      try {
        this.#requestPermits();
      } finally {
        if (this.#waiting.size > 0) this.#scheduleRequests();
      }
    });
  }

  #requestPermits(): void {
    const servers = new Set<string>();
    this.#waiting.forEach(({ request, views }) => {
      views.forEach((view) => this.#requestPermit(request, view));
      views.forEach(({ server }) => servers.add(server.id));
    });
    servers.forEach((id) => this.noteAnswer(id));
  }
}
