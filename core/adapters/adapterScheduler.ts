import type { Milliseconds } from '../clock/mod.ts';
import { Popularity } from '../residence/mod.ts';
import { MAX_CONCURRENT_ADAPTER_LOADS, isAdapter, splitModelName } from '../serving/mod.ts';
import type { Engine, Holding, ModelName } from '../serving/mod.ts';

/** What an engine holds, by its latest report. */
export type EngineHoldings = {
  readonly holdings: readonly Holding[];
  /** Adapters that the engine is loading. */
  readonly coming: readonly Holding[];
  /** Whether the engine is loading or unloading a base model. */
  readonly isBusy: boolean;
};

/** An order to an engine to load or unload an adapter or a base model. */
export type ModelOrder = {
  readonly kind: 'load' | 'unload';
  readonly name: ModelName;
  /** @default the newest version */
  readonly version?: number;
};

/** Options of an `AdapterScheduler`. */
export type AdapterSchedulerOptions = {
  /** Maximum number of adapters that load concurrently. @default MAX_CONCURRENT_ADAPTER_LOADS */
  readonly loadsAtOnce?: number;
  /** Least time that an adapter stays loaded, so that waiting requests can be sent. @default 400 */
  readonly minResidenceMs?: Milliseconds;
};

/** A load requested at `since`; dropped at `until`, when no request waits for it any longer. */
type PendingLoad = { readonly version: number; readonly since: Milliseconds; until: Milliseconds };

/** Time after which the weight of a use in an adapter's popularity has halved. */
const POPULARITY_HALF_LIFE_MS: Milliseconds = 8000;

/** Time for which a load order without a response counts as accepted although no report shows it. */
const UNCONFIRMED_ORDER_MS: Milliseconds = 1000;

/**
 * Schedules the loads and unloads of adapters and base models on one engine.
 *
 * Entries request loads and report which adapters their running requests use. An adapter in use is
 * never unloaded; of the others, the least popular one is evicted first. Adapters that are loading and
 * load orders whose response was lost occupy a slot as well, since an engine exits when it is ordered
 * to load more adapters than it has slots.
 */
export class AdapterScheduler {
  readonly #options: Required<AdapterSchedulerOptions>;

  readonly #popularity = new Popularity(POPULARITY_HALF_LIFE_MS);

  readonly #pendingLoads = new Map<ModelName, PendingLoad>();

  /** Running requests by adapter, by entry. */
  readonly #usesByEntry = new Map<string, Map<ModelName, number>>();

  /** When a report first showed a model on the engine. */
  readonly #heldSince = new Map<ModelName, Milliseconds>();

  /** Load orders without a response, with the time until which they occupy a slot. */
  readonly #unconfirmedLoads = new Map<ModelName, Milliseconds>();

  #engine: Engine | undefined;

  #state: EngineHoldings = { holdings: [], coming: [], isBusy: false };

  constructor(options: AdapterSchedulerOptions = {}) {
    this.#options = { loadsAtOnce: MAX_CONCURRENT_ADAPTER_LOADS, minResidenceMs: 400, ...options };
  }

  /** Number of models that were requested and are not loaded yet. */
  get awaited(): number {
    return this.#pendingLoads.size;
  }

  /** Applies the capacity of the service's engines. */
  applyEngine(engine: Engine): void {
    this.#engine = engine;
  }

  /** Applies a new report of the engine. */
  applyHoldings(state: EngineHoldings, now: Milliseconds): void {
    this.#state = state;
    const held = new Set(state.holdings.map(({ name }) => name));
    for (const { name, version } of state.holdings) {
      if (!this.#heldSince.has(name)) this.#heldSince.set(name, now);
      const pending = this.#pendingLoads.get(name);
      if (pending !== undefined && version >= pending.version) this.#pendingLoads.delete(name);
    }
    for (const name of [...this.#heldSince.keys()]) {
      if (!held.has(name)) this.#heldSince.delete(name);
    }
    for (const [name, until] of [...this.#unconfirmedLoads]) {
      if (until <= now || held.has(name)) this.#unconfirmedLoads.delete(name);
    }
    this.#dropExpiredLoads(now);
  }

  /**
   * Requests the load of an adapter or a base model.
   *
   * @param name The model.
   * @param version The oldest version that is acceptable.
   * @param waitMs How long the caller's request waits for the load.
   * @param now The current time.
   */
  requestLoad(name: ModelName, version: number, waitMs: Milliseconds, now: Milliseconds): void {
    this.#popularity.recordUse(name, now);
    const holding = this.#state.holdings.find((each) => each.name === name);
    if (holding !== undefined && holding.version >= version) return;
    const known = this.#pendingLoads.get(name);
    const until = Math.max(known?.until ?? 0, now + waitMs);
    const newest = Math.max(known?.version ?? 0, version);
    this.#pendingLoads.set(name, { version: newest, since: known?.since ?? now, until });
  }

  /** Sets how many running requests of one entry use an adapter. */
  setUseCount(entry: string, name: ModelName, count: number, now: Milliseconds): void {
    const uses = this.#usesByEntry.get(entry) ?? new Map<ModelName, number>();
    this.#usesByEntry.set(entry, uses);
    if (count > (uses.get(name) ?? 0)) this.#popularity.recordUse(name, now);
    if (count > 0) uses.set(name, count);
    else uses.delete(name);
  }

  /** Removes the use counts of an entry whose link has closed. */
  forgetEntry(entry: string): void {
    this.#usesByEntry.delete(entry);
  }

  /** Records that the response to an order was lost, so that it is unknown whether it was accepted. */
  noteUnconfirmed(order: ModelOrder, now: Milliseconds): void {
    if (order.kind === 'load') this.#unconfirmedLoads.set(order.name, now + UNCONFIRMED_ORDER_MS);
  }

  /** Number of adapter slots that are empty or can be freed immediately. */
  freeablePlaces(now: Milliseconds): number {
    if (this.#engine === undefined) return 0;
    const empty = this.#engine.adapterPlaces - this.#occupiedPlaces();
    return Math.max(0, empty) + this.#evictionCandidates(now).length;
  }

  /** Returns the next order to send, if any; a new report must be applied before the next call. */
  nextOrder(now: Milliseconds): ModelOrder | undefined {
    const engine = this.#engine;
    if (engine === undefined || this.#state.isBusy) return undefined;
    return this.#nextBaseModelOrder(engine) ?? this.#nextAdapterOrder(engine, now);
  }

  #nextBaseModelOrder(engine: Engine): ModelOrder | undefined {
    const held = new Set(this.#state.holdings.map(({ name }) => name));
    const models = engine.models.filter(({ name }) => held.has(name));
    const usedMb = models.reduce((sum, { weightsMb }) => sum + weightsMb, 0);
    const adaptersMb = engine.adapterPlaces * Math.max(0, ...engine.models.map((m) => m.adapterMb));
    const missing = engine.models.filter(
      ({ name, weightsMb }) =>
        !held.has(name) &&
        !this.#unconfirmedLoads.has(name) &&
        usedMb + weightsMb + adaptersMb <= engine.weightsMb,
    );
    const needed = missing.find(({ name }) => this.#isBaseModelNeeded(name));
    const model = needed ?? (models.length === 0 ? missing[0] : undefined);
    return model === undefined ? undefined : { kind: 'load', name: model.name };
  }

  #isBaseModelNeeded(model: string): boolean {
    return [...this.#pendingLoads.keys()].some((name) => splitModelName(name).model === model);
  }

  #nextAdapterOrder(engine: Engine, now: Milliseconds): ModelOrder | undefined {
    const { coming } = this.#state;
    if (coming.length + this.#unconfirmedLoads.size >= this.#options.loadsAtOnce) return undefined;
    const pending = this.#oldestPendingLoad();
    if (pending === undefined) return undefined;
    if (this.#occupiedPlaces() < engine.adapterPlaces) {
      return {
        kind: 'load',
        name: pending.name,
        ...(pending.version > 0 && { version: pending.version }),
      };
    }
    const evicted = this.#evictionCandidates(now)[0];
    return evicted === undefined ? undefined : { kind: 'unload', name: evicted };
  }

  #oldestPendingLoad(): { readonly name: ModelName; readonly version: number } | undefined {
    const models = new Set(this.#state.holdings.map(({ name }) => name));
    const coming = new Set(this.#state.coming.map(({ name }) => name));
    let oldest: { name: ModelName; version: number; since: Milliseconds } | undefined;
    for (const [name, { version, since }] of this.#pendingLoads) {
      const { model, adapter } = splitModelName(name);
      const isLoadable = adapter !== undefined && models.has(model);
      const isInProgress = coming.has(name) || this.#unconfirmedLoads.has(name);
      if (isLoadable && !isInProgress && (oldest === undefined || since < oldest.since)) {
        oldest = { name, version, since };
      }
    }
    return oldest;
  }

  #occupiedPlaces(): number {
    const held = this.#state.holdings.filter(({ name }) => isAdapter(name)).length;
    return held + this.#state.coming.length + this.#unconfirmedLoads.size;
  }

  /** Adapters that may be evicted, the least popular first. */
  #evictionCandidates(now: Milliseconds): readonly ModelName[] {
    const used = new Set([...this.#usesByEntry.values()].flatMap((uses) => [...uses.keys()]));
    return this.#state.holdings
      .filter(
        ({ name }) =>
          isAdapter(name) &&
          !used.has(name) &&
          !this.#pendingLoads.has(name) &&
          now - (this.#heldSince.get(name) ?? now) >= this.#options.minResidenceMs,
      )
      .map(({ name }) => ({ name, score: this.#popularity.useCount(name, now) }))
      .sort((a, b) => a.score - b.score)
      .map(({ name }) => name);
  }

  #dropExpiredLoads(now: Milliseconds): void {
    for (const [name, { until }] of [...this.#pendingLoads]) {
      if (until <= now) this.#pendingLoads.delete(name);
    }
  }
}
