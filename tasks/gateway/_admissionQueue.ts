import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { runAll } from '../../core/collections/mod.ts';
import { chooseServer } from '../../core/dispatch/mod.ts';
import type {
  ServerChoice,
  ServerChoiceRequest,
  ServerView,
  WaitReason,
} from '../../core/dispatch/mod.ts';
import {
  Departures,
  hasCapacity,
  hasPrefillCapacity,
  PrefillLoad,
  RefusalSchedule,
  RequestQueue,
  usesAdmissionQueue,
  workOf,
} from '../../core/requestQueue/mod.ts';
import type { CapacityRequest, QueuedRequest, ServiceRate } from '../../core/requestQueue/mod.ts';
import type { Deployment, Service } from '../../core/serving/mod.ts';
import { priorityOf } from '../../core/tenants/mod.ts';
import type { Log, LogFields } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import { tenantOf } from './_openRequest.ts';
import type { OpenRequest, RequestEnd } from './_openRequest.ts';
import { retryDelayMs } from './_retryAfter.ts';

/** Options of `AdmissionQueue`. */
export type AdmissionQueueOptions = {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns the deployment in force. */
  readonly deployment: () => Deployment | undefined;
  /** Returns what all entries have at a server. @default what this entry has there */
  readonly loadOf?: (view: ServerView, service: Service) => ServerLoad;
  /** Returns the known servers of a service. */
  readonly viewsOf: (service: Service) => readonly ServerView[];
  /**
   * Chooses a server for a waiting request. Returns how to carry the choice out, or `undefined` if the request
   * has to wait.
   */
  readonly findStart: (request: OpenRequest) => (() => void) | undefined;
  /** Refuses a request with exactly this delay. */
  readonly refuse: (request: OpenRequest, reason: string, retryAfterMs: Milliseconds) => void;
};

/** What all entries have at a server. */
export type ServerLoad = {
  readonly requests: number;
  /** Prompt tokens that it has still to prefill. */
  readonly promptTokens: number;
  /** Prompt tokens that it prefills in a millisecond. */
  readonly promptTokensPerMs: number;
};

/** A waiting request with its state at the gateway. */
type Entry = QueuedRequest & { readonly open: OpenRequest; readonly since: Milliseconds };

type ServiceState = {
  readonly queue: RequestQueue<Entry>;
  readonly departures: Departures;
  readonly refusals: RefusalSchedule;
  /** Mean time from sending a request to the first bytes of its response body, by route. */
  readonly firstEventMs: Map<string, Milliseconds>;
};

/** Interval at which waiting requests are looked at without an event: to start paced ones, and refuse late ones. */
const REVIEW_INTERVAL_MS: Milliseconds = 25;

/** Time to the first bytes assumed for a route before its first response. */
const INITIAL_FIRST_EVENT_MS: Milliseconds = 60;

/** Weight of the newest sample in the mean time to the first bytes. */
const FIRST_EVENT_WEIGHT = 0.1;

/**
 * Shortest time between two looks for requests that can start. Each look chooses a server for up to 16 requests,
 * and under overload hundreds of events a second free some capacity.
 */
const MIN_ADMIT_INTERVAL_MS: Milliseconds = 10;

/** Memory of a waiting request beside its body: its headers, connection and timers. */
const REQUEST_BYTES = 4096;

/** Expected wait up to which a request still starts here while the process stops. */
const DRAIN_WAIT_MS: Milliseconds = 300;

/** Tenants that have series of their own in the metrics; the rest share one, which bounds the series. */
const MAX_NAMED_TENANTS = 8;

/** Holds requests in order until a server has capacity, or refuses them at once. */
export class AdmissionQueue {
  readonly #options: AdmissionQueueOptions;

  readonly #services = new Map<string, ServiceState>();

  readonly #waiting = new Map<OpenRequest, Entry>();

  readonly #prefill = new PrefillLoad<OpenRequest>();

  /** Requests whose arrival has been counted. */
  readonly #arrived = new WeakSet<OpenRequest>();

  /** Requests that were admitted from the queue or at once, and count as served. */
  readonly #admitted = new WeakSet<OpenRequest>();

  readonly #namedTenants = new Set<string>();

  /** Names of the services whose waiting requests are to be looked at. */
  readonly #changed = new Set<string>();

  #isAdmitting = false;

  /** When requests that can start were last looked for after an event. */
  #admittedAt: Milliseconds = -Infinity;

  #isDraining = false;

  #isScheduled = false;

  #isReviewing = false;

  #checked: { readonly deployment: Deployment; readonly isUsed: boolean } | undefined;

  constructor(options: AdmissionQueueOptions) {
    this.#options = options;
    options.metrics.gauge('queue_waiting', () => this.#waiting.size);
    options.metrics.gauge('queue_waiting_bytes', () =>
      [...this.#services.values()].reduce((sum, { queue }) => sum + queue.bytes, 0),
    );
  }

  /** Chooses a server with capacity, or has the request wait where the deployment uses the queue. */
  choose(
    request: OpenRequest,
    inputs: ServerChoiceRequest,
    views: readonly ServerView[],
  ): ServerChoice {
    // A request that may have run or whose stream has begun is continued rather than queued.
    const hasBegun = request.mayHaveRunCount > 0 || request.caller.response.hasBegun();
    if (hasBegun || !this.#isUsed) return chooseServer(inputs, views);
    const state = this.#stateOf(request.service);
    const { now } = inputs;
    if (!this.#arrived.has(request)) {
      this.#arrived.add(request);
      const priority = priorityOf(request.route, tenantOf(request));
      state.queue.noteArrival(priority, AdmissionQueue.#workOf(request), now);
    }
    if (state.queue.size > 0 && !this.#isAdmitting) return { kind: 'wait', reason: 'others-first' };
    const needed = this.#neededOf(request, state);
    const ready = views.filter((view) => view.isReady);
    const loads = new Map(ready.map((view) => [view, this.#loadOf(view, request.service)]));
    const prefillMsOf = (view: ServerView, tokens = loads.get(view)!.promptTokens): Milliseconds =>
      tokens / loads.get(view)!.promptTokensPerMs;
    const roomy = ready.filter((view) =>
      hasCapacity({ server: view.server, load: loads.get(view)!.requests }, needed, now),
    );
    if (ready.length > 0 && roomy.length === 0) return { kind: 'wait', reason: 'servers-full' };
    const paced = roomy.filter((view) => {
      const ownMs = prefillMsOf(view, needed.promptTokens);
      return hasPrefillCapacity(needed, prefillMsOf(view), ownMs, now);
    });
    const withPrefill = needed.isStream ? { ...inputs, prefillMsOf } : inputs;
    const choice = chooseServer(withPrefill, paced);
    if (choice.kind === 'send' || paced.length === roomy.length) {
      return AdmissionQueue.#held(choice);
    }
    // Waits for a server that has the adapter rather than loading it elsewhere because of prefill alone.
    const unpaced = chooseServer(withPrefill, roomy);
    if (unpaced.kind === 'send') return { kind: 'wait', reason: 'prefill' };
    return AdmissionQueue.#held(unpaced);
  }

  /** Queues a request for which no server has capacity, or refuses it. */
  hold(request: OpenRequest, reason: WaitReason): void {
    if (this.#isAdmitting && this.#waiting.has(request)) return;
    const now = this.#options.clock.now();
    const state = this.#stateOf(request.service);
    const { requestId } = request.head;
    const appointment = state.refusals.appointmentOf(requestId, now);
    const entry = AdmissionQueue.#entryOf(request, state, {
      isReturning: appointment.kind === 'due',
      isPaced: reason === 'prefill',
      now,
    });
    if (this.#isDraining) {
      this.#refuse(entry, 'queue-draining', { waitMs: 0, retryAfterMs: retryDelayMs('leaving') });
      return;
    }
    if (appointment.kind === 'early') {
      const { leftMs } = appointment;
      state.refusals.noteEarly(requestId);
      this.#refuse(entry, 'queue-early', { waitMs: leftMs, retryAfterMs: leftMs });
      return;
    }
    const rate = this.#rateOf(request.service, state, now);
    const offer = state.queue.offer(entry, rate, now);
    if (offer.kind === 'refused') {
      this.#refuse(entry, offer.reason, {
        waitMs: offer.waitMs,
        retryAfterMs: this.#retryAfterMs(entry, state, offer.waitMs),
      });
      return;
    }
    state.refusals.release(requestId);
    this.#waiting.set(request, entry);
    this.#options.metrics.count('queue_waited_total', this.#labelsOf(entry));
    this.#options.log('requestQueued', {
      ...AdmissionQueue.#describe(entry),
      reason,
      expectedWaitMs: Math.round(offer.waitMs),
      waiting: state.queue.size,
      isReturning: entry.isReturning,
    });
    if (reason === 'others-first') this.noteCapacity(request.service.name);
    this.#scheduleReview();
  }

  /** Looks for requests that can start, since a service may have more capacity; at the end of this turn. */
  noteCapacity(service: string): void {
    if (this.#waiting.size === 0) return;
    this.#changed.add(service);
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    const { clock } = this.#options;
    const delayMs = Math.max(0, this.#admittedAt + MIN_ADMIT_INTERVAL_MS - clock.now());
    clock.schedule(delayMs, () => {
      this.#isScheduled = false;
      this.#admittedAt = clock.now();
      const changed = [...this.#changed];
      this.#changed.clear();
      changed.forEach((name) => this.#admit(name));
    });
  }

  /** Records that a request was sent to a server. */
  noteSent(request: OpenRequest, view: ServerView): void {
    if (!this.#isUsed) return;
    const { clock } = this.#options;
    const now = clock.now();
    const state = this.#stateOf(request.service);
    if (!this.#admitted.has(request)) {
      this.#admitted.add(request);
      const priority = priorityOf(request.route, tenantOf(request));
      state.queue.shares.note(priority, true, now);
      state.refusals.release(request.head.requestId);
    }
    if (!request.route.isStream) return;
    const { promptTokens = 0 } = request.head;
    const sent = { serverId: view.server.id, promptTokens, firstEventMs: view.usualPauseMs };
    this.#prefill.noteSent(request, sent, now);
  }

  /** Records the first bytes of a response body. */
  noteFirstEvent(request: OpenRequest): void {
    if (!this.#isUsed) return;
    const now = this.#options.clock.now();
    const { firstEventMs } = this.#stateOf(request.service);
    const meanMs = firstEventMs.get(request.route.name) ?? INITIAL_FIRST_EVENT_MS;
    const tookMs = now - request.sentAt;
    firstEventMs.set(request.route.name, meanMs + (tookMs - meanMs) * FIRST_EVENT_WEIGHT);
    if (this.#prefill.noteFirstEvent(request, now)) this.noteCapacity(request.service.name);
  }

  /** Records the end of an attempt without a complete response. */
  noteAttemptEnded(request: OpenRequest): void {
    this.#prefill.noteEnded(request);
    this.noteCapacity(request.service.name);
  }

  /** Records the end of a request, also of one that waits. */
  noteEnded(request: OpenRequest, end: RequestEnd): void {
    this.#prefill.noteEnded(request);
    const entry = this.#waiting.get(request);
    if (entry !== undefined) {
      this.#waiting.delete(request);
      this.#stateOf(request.service).queue.remove(entry);
    }
    if (end === 'answered' && this.#isUsed) {
      const now = this.#options.clock.now();
      const work = AdmissionQueue.#workOf(request);
      this.#stateOf(request.service).departures.note(now - request.sentAt, work, now);
    }
    this.noteCapacity(request.service.name);
  }

  /** Forgets a removed server. */
  forget(serverId: string): void {
    this.#prefill.forget(serverId);
  }

  /** Refuses what cannot start soon and all that would wait from now on, since the process stops. */
  drain(): void {
    this.#isDraining = true;
    const now = this.#options.clock.now();
    this.#services.forEach((state, name) => {
      const service = this.#options.deployment()?.services.get(name);
      if (service === undefined) return;
      const rate = this.#rateOf(service, state, now);
      const retryAfterMs = retryDelayMs('leaving');
      state.queue
        .takeBeyond(DRAIN_WAIT_MS, rate, now)
        .forEach((entry) =>
          this.#refuse(entry, 'queue-draining', { waitMs: DRAIN_WAIT_MS, retryAfterMs }),
        );
    });
  }

  #loadOf(view: ServerView, service: Service): ServerLoad {
    const { id } = view.server;
    return (
      this.#options.loadOf?.(view, service) ?? {
        requests: view.load,
        promptTokens: this.#prefill.outstandingTokens(id),
        promptTokensPerMs: this.#prefill.tokensPerMs(id),
      }
    );
  }

  get #isUsed(): boolean {
    const deployment = this.#options.deployment();
    if (deployment === undefined) return false;
    if (this.#checked?.deployment !== deployment) {
      this.#checked = { deployment, isUsed: usesAdmissionQueue(deployment) };
    }
    return this.#checked.isUsed;
  }

  /** Has a request wait that a server would have to be found for later. */
  static #held(choice: ServerChoice): ServerChoice {
    if (choice.kind !== 'refuse' || choice.reason === 'no-server') return choice;
    return { kind: 'wait', reason: choice.reason };
  }

  static #workOf({ head, identity }: OpenRequest): number {
    return workOf({ ...head, defaultTokens: tenantOf({ identity })?.defaultTokens });
  }

  static #describe({ open, tenant, priority, work }: Entry): LogFields {
    const { requestId } = open.head;
    return { request: requestId, tenant, class: priority, work: Math.round(work) };
  }

  #stateOf({ name }: Service): ServiceState {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const created: ServiceState = {
      queue: new RequestQueue<Entry>(),
      departures: new Departures(),
      refusals: new RefusalSchedule(),
      firstEventMs: new Map(),
    };
    this.#services.set(name, created);
    return created;
  }

  /** Latest start for which the first bytes of a stream, or the complete other response, are on time. */
  static #onTimeUntil({ acceptedAt, route }: OpenRequest, state: ServiceState): Milliseconds {
    const expectedMs = state.firstEventMs.get(route.name) ?? INITIAL_FIRST_EVENT_MS;
    return acceptedAt + Math.max(0, route.objectiveMs - expectedMs);
  }

  #neededOf(request: OpenRequest, state: ServiceState): CapacityRequest {
    const { route, service, head } = request;
    const pauses = (this.#options.deployment()?.routes ?? [])
      .filter(({ services }) => services.some((each) => each.service === service.name))
      .map(({ maxPauseMs = Infinity }) => maxPauseMs);
    const maxPauseMs = Math.min(...pauses);
    return {
      promptTokens: head.promptTokens ?? 0,
      isStream: route.isStream,
      ...(Number.isFinite(maxPauseMs) ? { maxPauseMs } : {}),
      paceUntil: AdmissionQueue.#onTimeUntil(request, state),
    };
  }

  static #entryOf(
    open: OpenRequest,
    state: ServiceState,
    found: Pick<QueuedRequest, 'isReturning' | 'isPaced'> & { readonly now: Milliseconds },
  ): Entry {
    const { isReturning, isPaced, now } = found;
    const tenant = tenantOf(open);
    const onTimeUntil = AdmissionQueue.#onTimeUntil(open, state);
    return {
      id: open.head.requestId,
      tenant: tenant?.name ?? '',
      priority: priorityOf(open.route, tenant),
      work: AdmissionQueue.#workOf(open),
      bytes: REQUEST_BYTES + open.caller.body.length,
      onTimeUntil,
      startUntil: Math.max(onTimeUntil, open.deadlineAt - state.departures.serviceMs),
      isReturning,
      isPaced,
      open,
      since: now,
    };
  }

  #rateOf(service: Service, state: ServiceState, now: Milliseconds): ServiceRate {
    const { departures, refusals } = state;
    const inFlight = this.#options
      .viewsOf(service)
      .reduce((sum, view) => sum + Math.max(0, view.inFlight), 0);
    return {
      perMs: departures.ratePerMs(inFlight, now),
      work: departures.work,
      booked: (withinMs, priority) => refusals.bookedUntil(now + withinMs, priority, now),
    };
  }

  #retryAfterMs(entry: Entry, state: ServiceState, waitMs: Milliseconds): Milliseconds {
    const now = this.#options.clock.now();
    const { open } = entry;
    return state.refusals.retryAfterMs(
      {
        id: entry.id,
        priority: entry.priority,
        waitMs,
        patienceMs: Math.max(0, entry.onTimeUntil - open.acceptedAt),
        leftMs: open.deadlineAt - now,
        ratePerMs: this.#rateOf(open.service, state, now).perMs,
      },
      now,
    );
  }

  /** Starts the waiting requests of a service that can, in order, and refuses those that will be late. */
  #admit(name: string): void {
    const state = this.#services.get(name);
    if (state === undefined || this.#isAdmitting || state.queue.size === 0) return;
    const { clock, findStart, metrics } = this.#options;
    const now = clock.now();
    while (this.#hasAnyCapacity(name)) {
      let start: (() => void) | undefined;
      this.#isAdmitting = true;
      const entry = state.queue.next(({ open }) => {
        start = findStart(open);
        return start !== undefined || open.isFinished;
      }, now);
      this.#isAdmitting = false;
      if (entry === undefined) break;
      this.#waiting.delete(entry.open);
      this.#admitted.add(entry.open);
      metrics.record('queue_wait_ms', now - entry.since, { class: String(entry.priority) });
      start?.();
    }
  }

  /** Whether any server of a service has a slot, or none is ready; without one, nobody need be looked at. */
  #hasAnyCapacity(name: string): boolean {
    const { deployment, viewsOf } = this.#options;
    const service = deployment()?.services.get(name);
    const ready = (service === undefined ? [] : viewsOf(service)).filter((view) => view.isReady);
    return ready.length === 0 || ready.some((view) => view.load < view.server.slots);
  }

  #refuseLate(state: ServiceState, now: Milliseconds): void {
    const [first] = state.queue.requests;
    if (first === undefined) return;
    const rate = this.#rateOf(first.open.service, state, now);
    state.queue.takeLate(rate, now).forEach((entry) => {
      const waitMs = now - entry.since;
      const retryAfterMs = this.#retryAfterMs(entry, state, waitMs);
      this.#refuse(entry, 'queue-overdue', { waitMs, retryAfterMs });
    });
  }

  #refuse(
    entry: Entry,
    reason: string,
    told: { readonly waitMs: Milliseconds; readonly retryAfterMs: Milliseconds },
  ): void {
    const { log, metrics, refuse } = this.#options;
    const { shares } = this.#stateOf(entry.open.service).queue;
    this.#waiting.delete(entry.open);
    metrics.count('queue_refused_total', { ...this.#labelsOf(entry), reason });
    log('requestNotQueued', {
      ...AdmissionQueue.#describe(entry),
      reason,
      expectedWaitMs: Math.round(told.waitMs),
      allowedWaitMs: Math.round(entry.onTimeUntil - entry.since),
      retryAfterMs: Math.round(told.retryAfterMs),
      servedShares: shares.describe(entry.since),
    });
    refuse(entry.open, reason, told.retryAfterMs);
  }

  #labelsOf({ tenant, priority }: Entry): Readonly<Record<string, string>> {
    if (this.#namedTenants.size < MAX_NAMED_TENANTS) this.#namedTenants.add(tenant);
    const label = this.#namedTenants.has(tenant) ? tenant : 'other';
    return { tenant: label, class: String(priority) };
  }

  #scheduleReview(): void {
    if (this.#isReviewing || this.#waiting.size === 0) return;
    this.#isReviewing = true;
    this.#options.clock.schedule(REVIEW_INTERVAL_MS, () => {
      this.#isReviewing = false;
      const now = this.#options.clock.now();
      try {
        runAll([...this.#services], ([name, state]) => {
          this.#admit(name);
          this.#refuseLate(state, now);
        });
      } finally {
        this.#scheduleReview();
      }
    });
  }
}
