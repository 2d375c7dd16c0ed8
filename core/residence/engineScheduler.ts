import { estimateWaitMs } from '../admission/mod.ts';
import type { Milliseconds } from '../clock/mod.ts';
import type { AdapterVersion } from '../identity/mod.ts';
import { notRun } from '../outcome/mod.ts';
import type { NotRun } from '../outcome/mod.ts';
import { createStaticRateLimiter } from './loadRate.ts';
import type { LoadRateLimiter } from './loadRate.ts';
import { Popularity } from './popularity.ts';
import { RequestQueues } from './_requestQueues.ts';
import type { WaitingRequest } from './_requestQueues.ts';

/** Identifies a request within one `EngineScheduler`. */
export type RequestName = string;

/** A request that can start only while its adapter version is loaded. */
export type SchedulerRequest = {
  readonly name: RequestName;
  readonly adapterVersion: AdapterVersion;
  readonly deadline: Milliseconds;
};

/** A command to the engine to load or unload an adapter version. */
export type SchedulerOrder = {
  readonly kind: 'load' | 'unload';
  readonly adapterVersion: AdapterVersion;
};

/** How an order ended; `lost` when the reply was lost and the effect is not known. */
export type OrderResult = 'obeyed' | 'refused' | 'lost';

/** What the owner of an `EngineScheduler` must do next. */
export type SchedulerAction =
  | { readonly kind: 'order'; readonly order: SchedulerOrder }
  | {
      readonly kind: 'start';
      readonly request: RequestName;
      readonly adapterVersion: AdapterVersion;
      /** Time from arrival until the adapter version was loaded; 0 if it was loaded on arrival. */
      readonly loadStallMs: Milliseconds;
      /** Time from arrival to start. */
      readonly queuedMs: Milliseconds;
    }
  | { readonly kind: 'refuse'; readonly request: RequestName; readonly outcome: NotRun }
  /** Read the loaded adapter versions from the engine, then call `setResident`; orders wait. */
  | { readonly kind: 'inspect' };

/** Options of an `EngineScheduler`. */
export type EngineSchedulerOptions = {
  /** Adapter versions that the engine can hold at a time. */
  readonly slots: number;
  /** Requests that the engine can run at a time. */
  readonly batchWidth: number;
  /** Maximum number of concurrent loads. @default 1 */
  readonly loadsAtOnce?: number;
  /** Rate limiter for loads. @default four loads per second */
  readonly loadRate?: LoadRateLimiter;
  /** Eviction order: least recently used or least frequently used first. @default 'frequency' */
  readonly eviction?: 'recency' | 'frequency';
  /** Requests refused on arrival: those expected to miss their deadline, or none. @default 'late' */
  readonly refuseOnArrival?: 'late' | 'none';
  /** Minimum time between the load and the eviction of an adapter version. @default 500 */
  readonly minResidenceMs?: Milliseconds;
  /** Consecutive failed loads after which the waiting requests are refused. @default 2 */
  readonly loadAttempts?: number;
};

type RunningRequest = { readonly adapterVersion: AdapterVersion; readonly startedAt: Milliseconds };

type Slot = {
  state: 'loading' | 'resident' | 'unloading';
  /** Number of running requests that use the adapter version. */
  pins: number;
  /** Time when a request last started or ended. */
  usedAt: Milliseconds;
  /** Time when the adapter version was found loaded; the start of the load while it is loading. */
  residentAt: Milliseconds;
};

const DEFAULT_LOADS_PER_SECOND = 4;

/** Weight of the latest request in the moving average of run times. */
const SERVICE_TIME_SMOOTHING = 0.1;

const POPULARITY_HALF_LIFE_MS: Milliseconds = 10000;

/**
 * Schedules the adapter loads, evictions and request starts of one engine.
 *
 * An adapter version is pinned while a request that uses it runs, and is never evicted then.
 */
export class EngineScheduler {
  readonly #options: Required<EngineSchedulerOptions>;

  readonly #slots = new Map<AdapterVersion, Slot>();

  readonly #queues = new RequestQueues();

  readonly #popularity = new Popularity(POPULARITY_HALF_LIFE_MS);

  readonly #running = new Map<RequestName, RunningRequest>();

  /** Moving average of run times; 0 before the first request ends. */
  #meanServiceMs: Milliseconds = 0;

  /** Consecutive failed loads of each adapter version. */
  readonly #loadFailures = new Map<AdapterVersion, number>();

  #batchWidth: number;

  readonly #loadStartedAt = new Map<AdapterVersion, Milliseconds>();

  /** Whether the adapter versions that the engine holds must be read before the next order. */
  #isEngineStateUnknown = true;

  #actions: SchedulerAction[] = [];

  constructor(options: EngineSchedulerOptions) {
    this.#options = {
      loadsAtOnce: 1,
      loadRate: createStaticRateLimiter(DEFAULT_LOADS_PER_SECOND),
      loadAttempts: 2,
      eviction: 'frequency',
      refuseOnArrival: 'late',
      minResidenceMs: 500,
      ...options,
    };
    this.#batchWidth = options.batchWidth;
  }

  /** Number of requests that run at the engine. */
  get running(): number {
    return this.#running.size;
  }

  /** Number of requests that wait to be started. */
  get waiting(): number {
    return this.#queues.size;
  }

  /** Adapter versions that are loaded. */
  get resident(): readonly AdapterVersion[] {
    return [...this.#slots]
      .filter(([, slot]) => slot.state === 'resident')
      .map(([adapterVersion]) => adapterVersion);
  }

  /** Number of slots that are empty or whose adapter version no request needs. */
  get freeSlots(): number {
    let used = 0;
    for (const [adapterVersion, slot] of this.#slots) {
      const isNeeded =
        slot.state === 'loading' || slot.pins > 0 || this.#queues.has(adapterVersion);
      if (isNeeded) used += 1;
    }
    return Math.max(0, this.#options.slots - used);
  }

  /**
   * Lowest decayed use count among the adapter versions that a load could evict; 0 when a slot is
   * empty or none can be evicted.
   */
  displacedUses(now: Milliseconds): number {
    if (this.#slots.size < this.#options.slots) return 0;
    let least = Infinity;
    for (const [adapterVersion, slot] of this.#slots) {
      const isEvictable =
        slot.state === 'resident' && slot.pins === 0 && !this.#queues.has(adapterVersion);
      if (isEvictable) least = Math.min(least, this.#popularity.useCount(adapterVersion, now));
    }
    return least === Infinity ? 0 : least;
  }

  /**
   * Returns the adapter versions that are loading, then those that wait for a load.
   *
   * @param limit Maximum number returned; loading adapter versions are returned in any case.
   */
  wanted(limit: number): readonly AdapterVersion[] {
    const wanted = [...this.#loadStartedAt.keys()];
    for (const adapterVersion of this.#queues.adapterVersions) {
      if (wanted.length >= limit) break;
      if (!this.#slots.has(adapterVersion)) wanted.push(adapterVersion);
    }
    return wanted;
  }

  /** Queues a request, or refuses it as configured by `refuseOnArrival`. */
  enqueue(request: SchedulerRequest, now: Milliseconds): readonly SchedulerAction[] {
    const wasResident = this.#slots.get(request.adapterVersion)?.state === 'resident';
    const waitMs =
      this.#options.refuseOnArrival === 'late' ? this.#estimateWait(request.adapterVersion) : 0;
    if (now + waitMs >= request.deadline) {
      const detail = 'the request could not start before its deadline; retry later';
      const outcome = notRun('overloaded', detail, Math.ceil(waitMs));
      this.#actions.push({ kind: 'refuse', request: request.name, outcome });
      return this.#plan(now);
    }
    this.#popularity.recordUse(request.adapterVersion, now);
    this.#queues.push({ ...request, arrivedAt: now, wasResident, isRemoved: false });
    return this.#plan(now);
  }

  /** Removes a waiting request; returns whether it was waiting. */
  withdraw(name: RequestName): boolean {
    return this.#queues.remove(name);
  }

  /** Handles the end of a request that was started. */
  handleRequestEnd(name: RequestName, now: Milliseconds): readonly SchedulerAction[] {
    const running = this.#running.get(name);
    if (running === undefined) return [];
    this.#running.delete(name);
    this.#recordServiceTime(now - running.startedAt);
    const slot = this.#slots.get(running.adapterVersion);
    if (slot !== undefined) {
      slot.pins -= 1;
      slot.usedAt = now;
    }
    return this.#plan(now);
  }

  /** Handles the result of an order. */
  handleOrderResult(
    order: SchedulerOrder,
    result: OrderResult,
    now: Milliseconds,
  ): readonly SchedulerAction[] {
    if (order.kind === 'load') this.#recordLoadTime(order.adapterVersion, result, now);
    if (result === 'lost') {
      this.#isEngineStateUnknown = true;
      this.#actions.push({ kind: 'inspect' });
      return this.#takeActions();
    }
    if (order.kind === 'load') this.#applyLoadResult(order.adapterVersion, result, now);
    else this.#applyUnloadResult(order.adapterVersion, result);
    return this.#plan(now);
  }

  /**
   * Applies the adapter versions that the engine reports as loaded. This settles the effect of
   * every earlier order, so orders resume; slots with running requests are kept.
   */
  setResident(resident: readonly AdapterVersion[], now: Milliseconds): readonly SchedulerAction[] {
    const held = new Set(resident);
    for (const [adapterVersion, slot] of this.#slots) {
      if (!held.has(adapterVersion) && slot.pins === 0) this.#removeSlot(adapterVersion);
    }
    for (const adapterVersion of held) {
      const slot = this.#slots.get(adapterVersion);
      if (slot === undefined) this.#setSlot(adapterVersion, 'resident', now);
      else slot.state = 'resident';
    }
    this.#isEngineStateUnknown = false;
    return this.#plan(now);
  }

  /** Sets the number of requests that the engine can run at a time. */
  setBatchWidth(batchWidth: number): void {
    this.#batchWidth = batchWidth;
  }

  /** Holds back all orders until `setResident` is called. */
  requireInspection(): void {
    this.#isEngineStateUnknown = true;
  }

  /** Refuses expired requests, starts runnable ones and orders the next load or eviction. */
  tick(now: Milliseconds): readonly SchedulerAction[] {
    return this.#plan(now);
  }

  #recordServiceTime(serviceMs: Milliseconds): void {
    const weight = this.#meanServiceMs === 0 ? 1 : SERVICE_TIME_SMOOTHING;
    this.#meanServiceMs += (serviceMs - this.#meanServiceMs) * weight;
  }

  /** Estimates how long a request that arrives now waits before it starts. */
  #estimateWait(adapterVersion: AdapterVersion): Milliseconds {
    return estimateWaitMs({
      running: this.#running.size,
      waiting: this.#queues.size,
      batchWidth: this.#batchWidth,
      meanServiceMs: this.#meanServiceMs,
      isLoadedOrPending: this.#slots.has(adapterVersion) || this.#queues.has(adapterVersion),
      loadsAhead: this.#queues.adapterVersionCount,
      loadsPerSecond: this.#options.loadRate.perSecond(),
    });
  }

  #takeActions(): readonly SchedulerAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  #setSlot(adapterVersion: AdapterVersion, state: Slot['state'], now: Milliseconds): void {
    this.#slots.set(adapterVersion, { state, pins: 0, usedAt: now, residentAt: now });
  }

  #removeSlot(adapterVersion: AdapterVersion): void {
    this.#slots.delete(adapterVersion);
    this.#queues.rerank(adapterVersion);
  }

  #recordLoadTime(adapterVersion: AdapterVersion, result: OrderResult, now: Milliseconds): void {
    const startedAt = this.#loadStartedAt.get(adapterVersion);
    this.#loadStartedAt.delete(adapterVersion);
    if (startedAt !== undefined && result === 'obeyed') {
      this.#options.loadRate.recordDuration(now - startedAt);
    }
  }

  #applyLoadResult(adapterVersion: AdapterVersion, result: OrderResult, now: Milliseconds): void {
    if (result === 'obeyed') {
      this.#loadFailures.delete(adapterVersion);
      this.#setSlot(adapterVersion, 'resident', now);
      return;
    }
    this.#removeSlot(adapterVersion);
    const failures = (this.#loadFailures.get(adapterVersion) ?? 0) + 1;
    this.#loadFailures.set(adapterVersion, failures);
    if (failures < this.#options.loadAttempts) return;
    this.#loadFailures.delete(adapterVersion);
    this.#refuseQueue(adapterVersion);
  }

  #applyUnloadResult(adapterVersion: AdapterVersion, result: OrderResult): void {
    if (result === 'obeyed') {
      this.#removeSlot(adapterVersion);
      return;
    }
    const slot = this.#slots.get(adapterVersion);
    if (slot !== undefined) slot.state = 'resident';
  }

  #refuseQueue(adapterVersion: AdapterVersion): void {
    const outcome = notRun('load-failed', `${adapterVersion} could not be loaded; retry`, 1000);
    for (;;) {
      const waiting = this.#queues.shift(adapterVersion);
      if (waiting === undefined) return;
      this.#actions.push({ kind: 'refuse', request: waiting.name, outcome });
    }
  }

  #plan(now: Milliseconds): readonly SchedulerAction[] {
    this.#refuseExpired(now);
    this.#startRunnable(now);
    if (!this.#isEngineStateUnknown) this.#orderNextLoad(now);
    return this.#takeActions();
  }

  #refuseExpired(now: Milliseconds): void {
    for (;;) {
      const expired = this.#queues.shiftExpired(now);
      if (expired === undefined) return;
      const outcome = notRun(
        'deadline',
        'the deadline passed while the request was queued; retry',
        500,
      );
      this.#actions.push({ kind: 'refuse', request: expired.name, outcome });
    }
  }

  #startRunnable(now: Milliseconds): void {
    while (this.#running.size < this.#batchWidth) {
      const next = this.#oldestRunnable();
      if (next === undefined) return;
      this.#queues.remove(next.name);
      this.#startRequest(next, this.#slots.get(next.adapterVersion)!, now);
    }
  }

  #oldestRunnable(): WaitingRequest | undefined {
    let oldest: WaitingRequest | undefined;
    for (const [adapterVersion, slot] of this.#slots) {
      const first = slot.state === 'resident' ? this.#queues.peek(adapterVersion) : undefined;
      if (first !== undefined && (oldest === undefined || first.arrivedAt < oldest.arrivedAt)) {
        oldest = first;
      }
    }
    return oldest;
  }

  #startRequest(waiting: WaitingRequest, slot: Slot, now: Milliseconds): void {
    slot.pins += 1;
    slot.usedAt = now;
    this.#running.set(waiting.name, { adapterVersion: waiting.adapterVersion, startedAt: now });
    const stalledUntil = Math.max(waiting.arrivedAt, slot.residentAt);
    this.#actions.push({
      kind: 'start',
      request: waiting.name,
      adapterVersion: waiting.adapterVersion,
      loadStallMs: waiting.wasResident ? 0 : stalledUntil - waiting.arrivedAt,
      queuedMs: now - waiting.arrivedAt,
    });
  }

  #orderNextLoad(now: Milliseconds): void {
    const { loadsAtOnce, loadRate, slots } = this.#options;
    if (this.#queues.size === 0 || this.#loadStartedAt.size >= loadsAtOnce) return;
    if (!loadRate.mayStartLoad(now)) return;
    const wanted = this.#queues.nextToLoad((adapterVersion) => this.#slots.has(adapterVersion));
    if (wanted === undefined) return;
    if (this.#slots.size < slots) {
      loadRate.recordStart(now);
      this.#loadStartedAt.set(wanted, now);
      this.#setSlot(wanted, 'loading', now);
      this.#order({ kind: 'load', adapterVersion: wanted });
      return;
    }
    this.#evictOne(now);
  }

  #evictOne(now: Milliseconds): void {
    for (const { state } of this.#slots.values()) if (state === 'unloading') return;
    const victim = this.#chooseVictim(now);
    if (victim === undefined) return;
    this.#slots.get(victim)!.state = 'unloading';
    this.#order({ kind: 'unload', adapterVersion: victim });
  }

  #order(order: SchedulerOrder): void {
    this.#actions.push({ kind: 'order', order });
  }

  #chooseVictim(now: Milliseconds): AdapterVersion | undefined {
    const { eviction, minResidenceMs } = this.#options;
    let victim: AdapterVersion | undefined;
    let lowestScore = Infinity;
    for (const [adapterVersion, slot] of this.#slots) {
      const isEvictable =
        slot.state === 'resident' && slot.pins === 0 && !this.#queues.has(adapterVersion);
      if (!isEvictable || now - slot.residentAt < minResidenceMs) continue;
      const score =
        eviction === 'recency' ? slot.usedAt : this.#popularity.useCount(adapterVersion, now);
      if (score < lowestScore) {
        lowestScore = score;
        victim = adapterVersion;
      }
    }
    return victim;
  }
}
