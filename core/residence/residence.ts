import type { Milliseconds } from '../clock/mod.ts';
import type { AdapterVersion } from '../identity/mod.ts';
import { notRun } from '../outcome/mod.ts';
import type { NotRun } from '../outcome/mod.ts';

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
  /** Loads that may start each second. @default 4 */
  readonly loadsPerSecond?: number;
  /** Failed loads after which waiting requests are refused. @default 2 */
  readonly loadAttempts?: number;
};

type Waiting = ResidenceRequest & { readonly since: Milliseconds; wasResident: boolean };

type Slot = {
  state: 'loading' | 'resident' | 'unloading';
  pins: number;
  usedAt: Milliseconds;
  residentAt: Milliseconds;
};

/**
 * Decides which adapter versions one engine holds and which requests it starts.
 *
 * An adapter version with a request at the engine is pinned and never named in an unload order.
 */
export class Residence {
  readonly #options: Required<ResidenceOptions>;

  readonly #slots = new Map<AdapterVersion, Slot>();

  readonly #queues = new Map<AdapterVersion, Waiting[]>();

  readonly #running = new Map<RequestName, AdapterVersion>();

  readonly #loadFailures = new Map<AdapterVersion, number>();

  #batchWidth: number;

  #nextLoadAt: Milliseconds = 0;

  /** Whether the engine's state is not known since an order's reply was lost. */
  #uncertain = true;

  #actions: ResidenceAction[] = [];

  constructor(options: ResidenceOptions) {
    this.#options = { loadsAtOnce: 1, loadsPerSecond: 4, loadAttempts: 2, ...options };
    this.#batchWidth = options.batchWidth;
  }

  /** Requests at the engine. */
  get running(): number {
    return this.#running.size;
  }

  /** Requests that wait here. */
  get waiting(): number {
    let waiting = 0;
    for (const queue of this.#queues.values()) waiting += queue.length;
    return waiting;
  }

  /** Adapter versions that the engine holds. */
  get resident(): readonly AdapterVersion[] {
    return [...this.#slots].filter(([, slot]) => slot.state === 'resident').map(([name]) => name);
  }

  /** Adds a request. */
  enqueue(request: ResidenceRequest, now: Milliseconds): readonly ResidenceAction[] {
    const queue = this.#queues.get(request.adapterVersion) ?? [];
    const wasResident = this.#slots.get(request.adapterVersion)?.state === 'resident';
    queue.push({ ...request, since: now, wasResident });
    this.#queues.set(request.adapterVersion, queue);
    return this.#plan(now);
  }

  /** Removes a waiting request; returns whether it was waiting. */
  withdraw(name: RequestName): boolean {
    for (const [adapterVersion, queue] of this.#queues) {
      const index = queue.findIndex((waiting) => waiting.name === name);
      if (index !== -1) {
        queue.splice(index, 1);
        if (queue.length === 0) this.#queues.delete(adapterVersion);
        return true;
      }
    }
    return false;
  }

  /** Tells that a started request has ended at the engine. */
  finished(name: RequestName, now: Milliseconds): readonly ResidenceAction[] {
    const adapterVersion = this.#running.get(name);
    if (adapterVersion === undefined) return [];
    this.#running.delete(name);
    const slot = this.#slots.get(adapterVersion);
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
      if (!held.has(adapterVersion) && slot.pins === 0) this.#slots.delete(adapterVersion);
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

  #takeActions(): readonly ResidenceAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  #hold(adapterVersion: AdapterVersion, state: Slot['state'], now: Milliseconds): void {
    this.#slots.set(adapterVersion, { state, pins: 0, usedAt: now, residentAt: now });
  }

  #loaded(adapterVersion: AdapterVersion, result: OrderResult, now: Milliseconds): void {
    if (result === 'obeyed') {
      this.#loadFailures.delete(adapterVersion);
      this.#hold(adapterVersion, 'resident', now);
      return;
    }
    this.#slots.delete(adapterVersion);
    const failures = (this.#loadFailures.get(adapterVersion) ?? 0) + 1;
    this.#loadFailures.set(adapterVersion, failures);
    if (failures < this.#options.loadAttempts) return;
    this.#loadFailures.delete(adapterVersion);
    this.#refuseQueue(adapterVersion);
  }

  #unloaded(adapterVersion: AdapterVersion, result: OrderResult): void {
    if (result === 'obeyed') {
      this.#slots.delete(adapterVersion);
      return;
    }
    const slot = this.#slots.get(adapterVersion);
    if (slot !== undefined) slot.state = 'resident';
  }

  #refuseQueue(adapterVersion: AdapterVersion): void {
    const outcome = notRun('load-failed', `${adapterVersion} could not be loaded; ask again`, 1000);
    for (const { name } of this.#queues.get(adapterVersion) ?? []) {
      this.#actions.push({ kind: 'refuse', request: name, outcome });
    }
    this.#queues.delete(adapterVersion);
  }

  #plan(now: Milliseconds): readonly ResidenceAction[] {
    this.#refuseLate(now);
    this.#startResident(now);
    if (!this.#uncertain) this.#makeResident(now);
    return this.#takeActions();
  }

  #refuseLate(now: Milliseconds): void {
    for (const [adapterVersion, queue] of this.#queues) {
      const kept = queue.filter((waiting) => waiting.deadline > now);
      if (kept.length === queue.length) continue;
      for (const { name, deadline } of queue) {
        if (deadline <= now) {
          const outcome = notRun('deadline', 'the deadline passed in the queue; ask again', 500);
          this.#actions.push({ kind: 'refuse', request: name, outcome });
        }
      }
      if (kept.length === 0) this.#queues.delete(adapterVersion);
      else this.#queues.set(adapterVersion, kept);
    }
  }

  #startResident(now: Milliseconds): void {
    for (const [adapterVersion, queue] of this.#queues) {
      const slot = this.#slots.get(adapterVersion);
      if (slot?.state !== 'resident') continue;
      while (queue.length > 0 && this.#running.size < this.#batchWidth) {
        this.#start(queue.shift()!, slot, now);
      }
      if (queue.length === 0) this.#queues.delete(adapterVersion);
    }
  }

  #start(waiting: Waiting, slot: Slot, now: Milliseconds): void {
    slot.pins += 1;
    slot.usedAt = now;
    this.#running.set(waiting.name, waiting.adapterVersion);
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
    const states = [...this.#slots.values()].map((slot) => slot.state);
    const loading = states.filter((state) => state === 'loading').length;
    if (loading >= this.#options.loadsAtOnce || now < this.#nextLoadAt) return;
    const wanted = this.#oldestWaiting();
    if (wanted === undefined) return;
    if (this.#slots.size < this.#options.slots) {
      this.#nextLoadAt = now + 1000 / this.#options.loadsPerSecond;
      this.#hold(wanted, 'loading', now);
      this.#order({ kind: 'load', adapterVersion: wanted });
      return;
    }
    if (states.includes('unloading')) return;
    const victim = this.#leastRecentlyUsed();
    if (victim === undefined) return;
    this.#slots.get(victim)!.state = 'unloading';
    this.#order({ kind: 'unload', adapterVersion: victim });
  }

  #order(order: ResidenceOrder): void {
    this.#actions.push({ kind: 'order', order });
  }

  #oldestWaiting(): AdapterVersion | undefined {
    let oldest: Waiting | undefined;
    for (const [adapterVersion, queue] of this.#queues) {
      const first = queue[0];
      if (first === undefined || this.#slots.has(adapterVersion)) continue;
      if (oldest === undefined || first.since < oldest.since) oldest = first;
    }
    return oldest?.adapterVersion;
  }

  #leastRecentlyUsed(): AdapterVersion | undefined {
    let found: { readonly name: AdapterVersion; readonly usedAt: Milliseconds } | undefined;
    for (const [name, slot] of this.#slots) {
      const isFree = slot.state === 'resident' && slot.pins === 0 && !this.#queues.has(name);
      if (isFree && (found === undefined || slot.usedAt < found.usedAt)) {
        found = { name, usedAt: slot.usedAt };
      }
    }
    return found?.name;
  }
}
