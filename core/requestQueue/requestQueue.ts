import type { Milliseconds } from '../clock/mod.ts';
import { ClassShares } from './classShares.ts';

/** A request that waits for capacity. */
export type QueuedRequest = {
  readonly id: string;
  /** Name of the tenant; empty if there is none. */
  readonly tenant: string;
  /** 0 is the highest. */
  readonly priority: number;
  /** Work in output tokens, by which tenants share. */
  readonly work: number;
  /** Memory that the request occupies while it waits. */
  readonly bytes: number;
  /** Latest start for which the response is on time. */
  readonly onTimeUntil: Milliseconds;
  /** Latest start for which the response is complete by its deadline. */
  readonly startUntil: Milliseconds;
  /** Whether its caller was refused before and comes back at its turn. */
  readonly isReturning: boolean;
  /** Whether it waits only for prefill of others, and starts by a time of its own. */
  readonly isPaced: boolean;
};

/** How fast the service takes requests. */
export type ServiceRate = {
  /** Requests that end per millisecond. */
  readonly perMs: number;
  /** Mean work of a request. */
  readonly work: number;
  /** Returns how many callers of a class and of more urgent ones have been promised a turn within some time. */
  readonly booked?: (withinMs: Milliseconds, priority: number) => number;
};

/** Why a request is not queued. */
export type QueueRefusalReason =
  /** It would start too late. */
  | 'queue-late'
  /** The queue has no room for it. */
  | 'queue-full'
  /** A more urgent class is served less often. */
  | 'queue-yields';

/** Whether a request waits, or why not; with the time until it would start. */
export type Offer =
  | { readonly kind: 'queued'; readonly waitMs: Milliseconds }
  | {
      readonly kind: 'refused';
      readonly reason: QueueRefusalReason;
      readonly waitMs: Milliseconds;
    };

/** Options of `RequestQueue`. */
export type RequestQueueOptions = {
  /** Largest number of waiting requests. @default 512 */
  readonly maxRequests?: number;
  /** Largest memory of the waiting requests. @default 16 MiB */
  readonly maxBytes?: number;
  /** Longest wait. @default 10,000 */
  readonly maxWaitMs?: Milliseconds;
};

type Waiting<Request> = {
  readonly request: Request;
  readonly since: Milliseconds;
  readonly sequence: number;
};

/** The requests of one tenant in one class. */
type Flow<Request> = {
  /** Work of the tenant that has started; the tenant with the least goes first. */
  virtualTime: number;
  /** In their order. */
  readonly waiting: Waiting<Request>[];
  /** Work that waits. */
  work: number;
};

/** A class of priority, in which tenants share by virtual time. */
type PriorityClass<Request> = {
  readonly priority: number;
  virtualTime: number;
  work: number;
  /** By tenant. */
  readonly flows: Map<string, Flow<Request>>;
  /** Work that arrives per millisecond, and when that was computed. */
  arrivingWork: number;
  arrivedAt: Milliseconds;
};

/** A waiting request with the virtual time at which it starts. */
type Tagged<Request> = Waiting<Request> & { readonly tag: number };

/** Requests that `next` passes over before it gives up, so that one that finds no server blocks no other. */
const MAX_PASSED_OVER = 16;

/** Time constant of the arrival rate. */
const ARRIVAL_WINDOW_MS: Milliseconds = 1000;

/**
 * Least share of the capacity that more urgent arrivals are assumed to leave, and that requests on time must
 * leave for late ones to wait.
 */
const MIN_RESIDUAL_SHARE = 0.1;

/** Tenants of a class whose use is remembered after their last request has left. */
const MAX_IDLE_FLOWS = 1000;

/** Rank of a class that goes first since it is served too seldom. */
const FIRST_RANK = -1;

/** Order within a tenant: callers with a turn, then the least time left. */
function compareWithinTenant<Request extends QueuedRequest>(
  a: Waiting<Request>,
  b: Waiting<Request>,
): number {
  if (a.request.isReturning !== b.request.isReturning) return a.request.isReturning ? -1 : 1;
  return a.request.onTimeUntil - b.request.onTimeUntil || a.sequence - b.sequence;
}

/** Returns where a request belongs among the others of its tenant. */
function positionOf<Request extends QueuedRequest>(
  others: readonly Waiting<Request>[],
  waiting: Waiting<Request>,
): number {
  let [low, high] = [0, others.length];
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (compareWithinTenant(others[middle]!, waiting) <= 0) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Returns the requests of a flow with their tags. */
function taggedOf<Request extends QueuedRequest>(flow: Flow<Request>): readonly Tagged<Request>[] {
  let tag = flow.virtualTime;
  return flow.waiting.map((waiting) => {
    const tagged = { ...waiting, tag };
    tag += waiting.request.work;
    return tagged;
  });
}

/**
 * The queue of one service at an entry.
 *
 * The order is by class of priority, then fair between the tenants of the class by work (virtual time), then
 * by the time left. Requests that can no longer be on time go after all others.
 */
export class RequestQueue<Request extends QueuedRequest> {
  /** Share of requests served by class. */
  readonly shares = new ClassShares();

  readonly #options: Required<RequestQueueOptions>;

  readonly #classes = new Map<number, PriorityClass<Request>>();

  #size = 0;

  #bytes = 0;

  #sequence = 0;

  constructor({
    maxRequests = 512,
    maxBytes = 16 * 1_048_576,
    maxWaitMs = 10_000,
  }: RequestQueueOptions = {}) {
    this.#options = { maxRequests, maxBytes, maxWaitMs };
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#size;
  }

  /** Memory of the waiting requests. */
  get bytes(): number {
    return this.#bytes;
  }

  /** The waiting requests, in no order. */
  get requests(): readonly Request[] {
    return [...this.#classes.values()].flatMap(({ flows }) =>
      [...flows.values()].flatMap(({ waiting }) => waiting.map(({ request }) => request)),
    );
  }

  /** Records the arrival of a request, whether it starts at once or is offered. */
  noteArrival(priority: number, work: number, now: Milliseconds): void {
    const priorityClass = this.#classOf(priority);
    priorityClass.arrivingWork =
      RequestQueue.#arrivingWork(priorityClass, now) + work / ARRIVAL_WINDOW_MS;
    priorityClass.arrivedAt = now;
  }

  /** Queues a request that will start in time, or refuses it. */
  offer(request: Request, rate: ServiceRate, now: Milliseconds): Offer {
    const { maxRequests, maxBytes, maxWaitMs } = this.#options;
    const { priority, isReturning, isPaced } = request;
    const waiting = { request, since: now, sequence: this.#sequence };
    const waitMs = isPaced ? 0 : this.#waitMs(waiting, rate, now);
    const refused = (reason: QueueRefusalReason): Offer => {
      if (!isReturning) this.shares.note(priority, false, now);
      return { kind: 'refused', reason, waitMs };
    };
    if (this.#size >= maxRequests || this.#bytes + request.bytes > maxBytes) {
      return refused('queue-full');
    }
    const isOnTime = now + waitMs <= request.onTimeUntil;
    const isInTime = now + waitMs <= Math.min(request.startUntil, now + maxWaitMs);
    if (!isInTime || !(isOnTime || this.#hasResidualCapacity(rate, now))) {
      return refused('queue-late');
    }
    const mustYield = !isReturning && !isPaced && this.shares.mustYield(priority, now);
    if (mustYield && !this.shares.mustGoFirst(priority, now)) return refused('queue-yields');
    this.#add(waiting);
    return { kind: 'queued', waitMs };
  }

  /**
   * Takes the first request, in order, that can start.
   *
   * @param canStart Whether a server takes the request now.
   */
  next(canStart: (request: Request) => boolean, now: Milliseconds): Request | undefined {
    let passedOver = 0;
    const classes = this.#rankedClasses(now);
    for (const isLate of [false, true]) {
      for (const priorityClass of classes) {
        for (const { request, tag } of RequestQueue.#inOrder(priorityClass, now, isLate)) {
          if (canStart(request)) {
            priorityClass.virtualTime = Math.max(priorityClass.virtualTime, tag);
            this.#flowOf(request).virtualTime += request.work;
            this.remove(request);
            this.shares.note(request.priority, true, now);
            return request;
          }
          passedOver += 1;
          if (passedOver >= MAX_PASSED_OVER) return undefined;
        }
      }
    }
    return undefined;
  }

  /** Removes a request, for instance when its caller has left. Returns whether it was waiting. */
  remove(request: Request): boolean {
    const priorityClass = this.#classOf(request.priority);
    const flow = this.#flowOf(request);
    const index = flow.waiting.findIndex((waiting) => waiting.request === request);
    if (index < 0) return false;
    flow.waiting.splice(index, 1);
    flow.work -= request.work;
    priorityClass.work -= request.work;
    this.#size -= 1;
    this.#bytes -= request.bytes;
    return true;
  }

  /**
   * Removes the requests that will not start in time, as far as is known now, and returns them: those that
   * miss their deadline, and those that miss their objective where others leave no capacity for late ones.
   */
  takeLate(rate: ServiceRate, now: Milliseconds): readonly Request[] {
    const late: Request[] = [];
    let workAhead = 0;
    const leavesCapacity = this.#hasResidualCapacity(rate, now);
    this.#ordered(now).forEach(({ request, since }) => {
      const waitMs = request.isPaced ? 0 : workAhead / (rate.perMs * rate.work);
      const startUntil =
        leavesCapacity || request.isPaced ? request.startUntil : request.onTimeUntil;
      if (now + waitMs > Math.min(startUntil, since + this.#options.maxWaitMs)) {
        this.remove(request);
        if (!request.isReturning) this.shares.note(request.priority, false, now);
        late.push(request);
      } else {
        workAhead += request.work;
      }
    });
    return late;
  }

  /** Removes all requests that will not start within some time, and returns them. */
  takeBeyond(withinMs: Milliseconds, rate: ServiceRate, now: Milliseconds): readonly Request[] {
    const beyond: Request[] = [];
    let workAhead = 0;
    this.#ordered(now).forEach(({ request }) => {
      workAhead += request.work;
      if (workAhead / (rate.perMs * rate.work) <= withinMs) return;
      this.remove(request);
      beyond.push(request);
    });
    return beyond;
  }

  /**
   * Expected wait of a request: the work ahead of it and its own, on the capacity that more urgent arrivals
   * leave, and the callers that were promised a turn before.
   */
  #waitMs(newcomer: Waiting<Request>, rate: ServiceRate, now: Milliseconds): Milliseconds {
    const { request } = newcomer;
    const own = this.#flowOf(request);
    const ownClass = this.#classOf(request.priority);
    const position = positionOf(own.waiting, newcomer);
    let workAhead = request.work;
    own.waiting.slice(0, position).forEach((each) => {
      workAhead += each.request.work;
    });
    const startedWork =
      own.waiting.length > 0 ? own.virtualTime : Math.max(own.virtualTime, ownClass.virtualTime);
    const tag = startedWork + workAhead - request.work;
    ownClass.flows.forEach((flow) => {
      if (flow !== own) workAhead += Math.min(flow.work, Math.max(0, tag - flow.virtualTime));
    });
    const capacity = rate.perMs * rate.work;
    let left = capacity;
    for (const priorityClass of this.#rankedClasses(now)) {
      if (priorityClass === ownClass) break;
      workAhead += priorityClass.work;
      left -= RequestQueue.#arrivingWork(priorityClass, now);
    }
    const waitMs = workAhead / Math.max(left, capacity * MIN_RESIDUAL_SHARE);
    const booked = request.isReturning ? 0 : (rate.booked?.(waitMs, request.priority) ?? 0);
    return waitMs + booked / rate.perMs;
  }

  /** Whether requests on time leave capacity for late ones. */
  #hasResidualCapacity(rate: ServiceRate, now: Milliseconds): boolean {
    const capacity = rate.perMs * rate.work;
    let left = capacity;
    this.#classes.forEach((each) => {
      left -= RequestQueue.#arrivingWork(each, now);
    });
    return left > capacity * MIN_RESIDUAL_SHARE;
  }

  /** The classes in the order in which they are served. */
  #rankedClasses(now: Milliseconds): readonly PriorityClass<Request>[] {
    return [...this.#classes.values()]
      .map((priorityClass) => {
        const { priority } = priorityClass;
        const rank = this.shares.mustGoFirst(priority, now) ? FIRST_RANK : priority;
        return { priorityClass, rank };
      })
      .sort((a, b) => a.rank - b.rank)
      .map(({ priorityClass }) => priorityClass);
  }

  /** The waiting requests in the order in which they start. */
  #ordered(now: Milliseconds): readonly Tagged<Request>[] {
    const classes = this.#rankedClasses(now);
    return [false, true].flatMap((isLate) =>
      classes.flatMap((each) => RequestQueue.#inOrder(each, now, isLate)),
    );
  }

  /** The requests of a class that are or are not late, in their order. */
  static #inOrder<Request extends QueuedRequest>(
    { flows }: PriorityClass<Request>,
    now: Milliseconds,
    isLate: boolean,
  ): readonly Tagged<Request>[] {
    return [...flows.values()]
      .flatMap((flow) => taggedOf(flow))
      .filter(({ request }) => request.onTimeUntil < now === isLate)
      .sort((a, b) => a.tag - b.tag || a.sequence - b.sequence);
  }

  static #arrivingWork<Request>(
    { arrivingWork, arrivedAt }: PriorityClass<Request>,
    now: Milliseconds,
  ): number {
    return arrivingWork * Math.exp(-(now - arrivedAt) / ARRIVAL_WINDOW_MS);
  }

  #add(waiting: Waiting<Request>): void {
    const { request } = waiting;
    const priorityClass = this.#classOf(request.priority);
    const flow = this.#flowOf(request);
    // A tenant that was idle gets no credit for that time.
    if (flow.waiting.length === 0) {
      flow.virtualTime = Math.max(flow.virtualTime, priorityClass.virtualTime);
    }
    flow.waiting.splice(positionOf(flow.waiting, waiting), 0, waiting);
    flow.work += request.work;
    priorityClass.work += request.work;
    this.#sequence += 1;
    this.#size += 1;
    this.#bytes += request.bytes;
  }

  #classOf(priority: number): PriorityClass<Request> {
    const known = this.#classes.get(priority);
    if (known !== undefined) return known;
    const created: PriorityClass<Request> = {
      priority,
      virtualTime: 0,
      work: 0,
      flows: new Map(),
      arrivingWork: 0,
      arrivedAt: 0,
    };
    this.#classes.set(priority, created);
    return created;
  }

  #flowOf({ priority, tenant }: Request): Flow<Request> {
    const { flows, virtualTime } = this.#classOf(priority);
    const known = flows.get(tenant);
    if (known !== undefined) return known;
    if (flows.size >= MAX_IDLE_FLOWS) {
      [...flows.entries()]
        .filter(([, { waiting }]) => waiting.length === 0)
        .forEach(([name]) => flows.delete(name));
    }
    const created: Flow<Request> = { virtualTime, waiting: [], work: 0 };
    flows.set(tenant, created);
    return created;
  }
}
