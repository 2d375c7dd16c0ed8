import { expectedWait } from '../admission/mod.ts';
import type { Milliseconds } from '../clock/mod.ts';
import type { AdapterVersion } from '../identity/mod.ts';
import { notRun } from '../outcome/mod.ts';
import type { NotRun } from '../outcome/mod.ts';
import { createStaticRate } from './loadRate.ts';
import type { LoadRate } from './loadRate.ts';
import { Popularity } from './popularity.ts';
import { RequestQueues } from './_requestQueues.ts';
import type { Waiting } from './_requestQueues.ts';

/** Names a request within one residence. */
export type RequestName = string;

/** A request that needs an adapter version to be resident. */
export type ResidenceRequest = {
  readonly name: RequestName;
  readonly adapterVersion: AdapterVersion;
  readonly deadline: Milliseconds;
};

/** An order to the engine. */
export type ResidenceOrder = {
  readonly kind: 'load' | 'unload';
  readonly adapterVersion: AdapterVersion;
};

/** How an order ended. */
export type OrderResult = 'obeyed' | 'refused' | 'lost';

/** What the owner of a `Residence` must do. */
export type ResidenceAction =
  | { readonly kind: 'order'; readonly order: ResidenceOrder }
  | {
      readonly kind: 'start';
      readonly request: RequestName;
      readonly adapterVersion: AdapterVersion;
      readonly loadStallMs: Milliseconds;
      readonly queuedMs: Milliseconds;
    }
  | { readonly kind: 'refuse'; readonly request: RequestName; readonly outcome: NotRun }
  /** The engine's residence must be read before any other order. */
  | { readonly kind: 'inspect' };

/** How to build a `Residence`. */
export type ResidenceOptions = {
  /** Adapters that the engine holds at a time. */
  readonly slots: number;
  /** Requests that the engine runs at a time. */
  readonly batchWidth: number;
  /** Loads under way at a time. @default 1 */
  readonly loadsAtOnce?: number;
  /** When loads may start. @default four loads a second */
  readonly loadRate?: LoadRate;
  /** What is unloaded first. @default 'frequency' */
  readonly eviction?: 'recency' | 'frequency';
  /** Which requests are refused when they come. @default 'late' */
  readonly refuses?: 'late' | 'none';
  /** Time for which a loaded adapter version stays. @default 500 */
  readonly minResidenceMs?: Milliseconds;
  /** Failed loads after which waiting requests are refused. @default 2 */
  readonly loadAttempts?: number;
};

type Running = { readonly adapterVersion: AdapterVersion; readonly startedAt: Milliseconds };

type Slot = {
  state: 'loading' | 'resident' | 'unloading';
  pins: number;
  usedAt: Milliseconds;
  residentAt: Milliseconds;
};

const DEFAULT_LOADS_PER_SECOND = 4;

/** Weight of the last request in the mean time that requests run. */
const SERVICE_SHARE = 0.1;

const POPULARITY_HALF_LIFE_MS: Milliseconds = 10000;

/**
 * Decides which adapter versions one engine holds and which requests it starts.
 *
 * An adapter version with a request at the engine is pinned and never named in an unload order.
 */
export class Residence {
  readonly #options: Required<ResidenceOptions>;

  readonly #slots = new Map<AdapterVersion, Slot>();

  readonly #queues = new RequestQueues();

  readonly #popularity = new Popularity(POPULARITY_HALF_LIFE_MS);

  readonly #running = new Map<RequestName, Running>();

  /** Mean time that a request runs. */
  #serviceMs: Milliseconds = 0;

  readonly #loadFailures = new Map<AdapterVersion, number>();

  #batchWidth: number;

  readonly #loadStartedAt = new Map<AdapterVersion, Milliseconds>();

  /** Whether the engine's state is not known since an order's reply was lost. */
  #uncertain = true;

  #actions: ResidenceAction[] = [];

  constructor(options: ResidenceOptions) {
    this.#options = {
      loadsAtOnce: 1,
      loadRate: createStaticRate(DEFAULT_LOADS_PER_SECOND),
      loadAttempts: 2,
      eviction: 'frequency',
      refuses: 'late',
      minResidenceMs: 500,
      ...options,
    };
    this.#batchWidth = options.batchWidth;
  }

  /** Requests at the engine. */
  get running(): number {
    return this.#running.size;
  }

  /** Requests that wait here. */
  get waiting(): number {
    return this.#queues.size;
  }

  /** Adapter versions that the engine holds. */
  get resident(): readonly AdapterVersion[] {
    return [...this.#slots].filter(([, slot]) => slot.state === 'resident').map(([name]) => name);
  }

  /** Slots that are empty or whose adapter version no request needs. */
  get freeSlots(): number {
    let used = 0;
    for (const [name, slot] of this.#slots) {
      const isNeeded = slot.state === 'loading' || slot.pins > 0 || this.#queues.has(name);
      if (isNeeded) used += 1;
    }
    return Math.max(0, this.#options.slots - used);
  }

  /** Recent uses of the adapter version that a load would displace; 0 when a slot is empty. */
  displacedUses(now: Milliseconds): number {
    if (this.#slots.size < this.#options.slots) return 0;
    let least = Infinity;
    for (const [name, slot] of this.#slots) {
      const isFree = slot.state === 'resident' && slot.pins === 0 && !this.#queues.has(name);
      if (isFree) least = Math.min(least, this.#popularity.of(name, now));
    }
    return least === Infinity ? 0 : least;
  }

  /** Adapter versions that are being loaded or that requests wait for, at most `limit`. */
  wanted(limit: number): readonly AdapterVersion[] {
    const wanted = [...this.#loadStartedAt.keys()];
    for (const adapterVersion of this.#queues.adapterVersions) {
      if (wanted.length >= limit) break;
      if (!this.#slots.has(adapterVersion)) wanted.push(adapterVersion);
    }
    return wanted;
  }

  /** Adds a request. */
  enqueue(request: ResidenceRequest, now: Milliseconds): readonly ResidenceAction[] {
    const wasResident = this.#slots.get(request.adapterVersion)?.state === 'resident';
    const waitMs = this.#options.refuses === 'late' ? this.#waitOf(request.adapterVersion) : 0;
    if (now + waitMs >= request.deadline) {
      const detail = 'it could not start before its deadline; ask again later';
      const outcome = notRun('overloaded', detail, Math.ceil(waitMs));
      this.#actions.push({ kind: 'refuse', request: request.name, outcome });
      return this.#plan(now);
    }
    this.#popularity.note(request.adapterVersion, now);
    this.#queues.push({ ...request, since: now, wasResident, isGone: false });
    return this.#plan(now);
  }

  /** Removes a waiting request; returns whether it was waiting. */
  withdraw(name: RequestName): boolean {
    return this.#queues.remove(name);
  }

  /** Tells that a started request has ended at the engine. */
  finished(name: RequestName, now: Milliseconds): readonly ResidenceAction[] {
    const running = this.#running.get(name);
    if (running === undefined) return [];
    this.#running.delete(name);
    this.#noteService(now - running.startedAt);
    const slot = this.#slots.get(running.adapterVersion);
    if (slot !== undefined) {
      slot.pins -= 1;
      slot.usedAt = now;
    }
    return this.#plan(now);
  }

  /** Tells how an order ended. */
  ordered(
    order: ResidenceOrder,
    result: OrderResult,
    now: Milliseconds,
  ): readonly ResidenceAction[] {
    if (order.kind === 'load') this.#noteLoadTime(order.adapterVersion, result, now);
    if (result === 'lost') {
      this.#uncertain = true;
      this.#actions.push({ kind: 'inspect' });
      return this.#takeActions();
    }
    if (order.kind === 'load') this.#loaded(order.adapterVersion, result, now);
    else this.#unloaded(order.adapterVersion, result);
    return this.#plan(now);
  }

  /** Tells what the engine says it holds; ends any doubt about earlier orders. */
  inspected(resident: readonly AdapterVersion[], now: Milliseconds): readonly ResidenceAction[] {
    const held = new Set(resident);
    for (const [adapterVersion, slot] of this.#slots) {
      if (!held.has(adapterVersion) && slot.pins === 0) this.#dropSlot(adapterVersion);
    }
    for (const adapterVersion of held) {
      const slot = this.#slots.get(adapterVersion);
      if (slot === undefined) this.#hold(adapterVersion, 'resident', now);
      else slot.state = 'resident';
    }
    this.#uncertain = false;
    return this.#plan(now);
  }

  /** Takes the number of requests that the engine runs at a time. */
  resize(batchWidth: number): void {
    this.#batchWidth = batchWidth;
  }

  /** Forbids orders until the engine's state has been read again. */
  doubt(): void {
    this.#uncertain = true;
  }

  /** Tells that time has passed. */
  tick(now: Milliseconds): readonly ResidenceAction[] {
    return this.#plan(now);
  }

  #noteService(time: Milliseconds): void {
    const share = this.#serviceMs === 0 ? 1 : SERVICE_SHARE;
    this.#serviceMs += (time - this.#serviceMs) * share;
  }

  /** Returns how long a request that comes now is expected to wait. */
  #waitOf(adapterVersion: AdapterVersion): Milliseconds {
    return expectedWait({
      running: this.#running.size,
      waiting: this.#queues.size,
      batchWidth: this.#batchWidth,
      serviceMs: this.#serviceMs,
      isHeldOrWanted: this.#slots.has(adapterVersion) || this.#queues.has(adapterVersion),
      loadsAhead: this.#queues.adapterVersionCount,
      loadsPerSecond: this.#options.loadRate.perSecond(),
    });
  }

  #takeActions(): readonly ResidenceAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  #hold(adapterVersion: AdapterVersion, state: Slot['state'], now: Milliseconds): void {
    this.#slots.set(adapterVersion, { state, pins: 0, usedAt: now, residentAt: now });
  }

  #dropSlot(adapterVersion: AdapterVersion): void {
    this.#slots.delete(adapterVersion);
    this.#queues.rerank(adapterVersion);
  }

  #noteLoadTime(adapterVersion: AdapterVersion, result: OrderResult, now: Milliseconds): void {
    const startedAt = this.#loadStartedAt.get(adapterVersion);
    this.#loadStartedAt.delete(adapterVersion);
    if (startedAt !== undefined && result === 'obeyed') {
      this.#options.loadRate.ended(now - startedAt);
    }
  }

  #loaded(adapterVersion: AdapterVersion, result: OrderResult, now: Milliseconds): void {
    if (result === 'obeyed') {
      this.#loadFailures.delete(adapterVersion);
      this.#hold(adapterVersion, 'resident', now);
      return;
    }
    this.#dropSlot(adapterVersion);
    const failures = (this.#loadFailures.get(adapterVersion) ?? 0) + 1;
    this.#loadFailures.set(adapterVersion, failures);
    if (failures < this.#options.loadAttempts) return;
    this.#loadFailures.delete(adapterVersion);
    this.#refuseQueue(adapterVersion);
  }

  #unloaded(adapterVersion: AdapterVersion, result: OrderResult): void {
    if (result === 'obeyed') {
      this.#dropSlot(adapterVersion);
      return;
    }
    const slot = this.#slots.get(adapterVersion);
    if (slot !== undefined) slot.state = 'resident';
  }

  #refuseQueue(adapterVersion: AdapterVersion): void {
    const outcome = notRun('load-failed', `${adapterVersion} could not be loaded; ask again`, 1000);
    for (;;) {
      const waiting = this.#queues.shift(adapterVersion);
      if (waiting === undefined) return;
      this.#actions.push({ kind: 'refuse', request: waiting.name, outcome });
    }
  }

  #plan(now: Milliseconds): readonly ResidenceAction[] {
    this.#refuseLate(now);
    this.#startResident(now);
    if (!this.#uncertain) this.#makeResident(now);
    return this.#takeActions();
  }

  #refuseLate(now: Milliseconds): void {
    for (;;) {
      const late = this.#queues.shiftLate(now);
      if (late === undefined) return;
      const outcome = notRun('deadline', 'the deadline passed in the queue; ask again', 500);
      this.#actions.push({ kind: 'refuse', request: late.name, outcome });
    }
  }

  #startResident(now: Milliseconds): void {
    while (this.#running.size < this.#batchWidth) {
      const next = this.#oldestStartable();
      if (next === undefined) return;
      this.#queues.remove(next.name);
      this.#start(next, this.#slots.get(next.adapterVersion)!, now);
    }
  }

  #oldestStartable(): Waiting | undefined {
    let oldest: Waiting | undefined;
    for (const [adapterVersion, slot] of this.#slots) {
      const first = slot.state === 'resident' ? this.#queues.peek(adapterVersion) : undefined;
      if (first !== undefined && (oldest === undefined || first.since < oldest.since)) {
        oldest = first;
      }
    }
    return oldest;
  }

  #start(waiting: Waiting, slot: Slot, now: Milliseconds): void {
    slot.pins += 1;
    slot.usedAt = now;
    this.#running.set(waiting.name, { adapterVersion: waiting.adapterVersion, startedAt: now });
    const stalledUntil = Math.max(waiting.since, slot.residentAt);
    this.#actions.push({
      kind: 'start',
      request: waiting.name,
      adapterVersion: waiting.adapterVersion,
      loadStallMs: waiting.wasResident ? 0 : stalledUntil - waiting.since,
      queuedMs: now - waiting.since,
    });
  }

  #makeResident(now: Milliseconds): void {
    const { loadsAtOnce, loadRate, slots } = this.#options;
    if (this.#queues.size === 0 || this.#loadStartedAt.size >= loadsAtOnce) return;
    if (!loadRate.mayStart(now)) return;
    const wanted = this.#queues.mostWanted((adapterVersion) => this.#slots.has(adapterVersion));
    if (wanted === undefined) return;
    if (this.#slots.size < slots) {
      loadRate.started(now);
      this.#loadStartedAt.set(wanted, now);
      this.#hold(wanted, 'loading', now);
      this.#order({ kind: 'load', adapterVersion: wanted });
      return;
    }
    this.#unloadOne(now);
  }

  #unloadOne(now: Milliseconds): void {
    for (const { state } of this.#slots.values()) if (state === 'unloading') return;
    const victim = this.#leastValuable(now);
    if (victim === undefined) return;
    this.#slots.get(victim)!.state = 'unloading';
    this.#order({ kind: 'unload', adapterVersion: victim });
  }

  #order(order: ResidenceOrder): void {
    this.#actions.push({ kind: 'order', order });
  }

  #leastValuable(now: Milliseconds): AdapterVersion | undefined {
    const { eviction, minResidenceMs } = this.#options;
    let victim: AdapterVersion | undefined;
    let least = Infinity;
    for (const [name, slot] of this.#slots) {
      const isFree = slot.state === 'resident' && slot.pins === 0 && !this.#queues.has(name);
      if (!isFree || now - slot.residentAt < minResidenceMs) continue;
      const value = eviction === 'recency' ? slot.usedAt : this.#popularity.of(name, now);
      if (value < least) {
        least = value;
        victim = name;
      }
    }
    return victim;
  }
}
