import type { Milliseconds } from '../clock/mod.ts';
import { Popularity } from '../residence/mod.ts';
import { ADAPTER_LOADS_AT_ONCE, isAdapter, splitModelName } from '../serving/mod.ts';
import type { Engine, Holding, ModelName } from '../serving/mod.ts';

/** What an engine holds, as it says itself a moment ago. */
export type EngineHoldings = {
  readonly holdings: readonly Holding[];
  /** Adapters on their way to the engine. */
  readonly coming: readonly Holding[];
  /** Whether an order for a base model is under way. */
  readonly isBusy: boolean;
};

/** An order that an engine should get now. */
export type PlaceOrder = {
  readonly kind: 'load' | 'unload';
  readonly name: ModelName;
  /** @default the newest one */
  readonly version?: number;
};

/** How to build `AdapterPlaces`. */
export type AdapterPlacesOptions = {
  /** Adapters on their way at a time. @default ADAPTER_LOADS_AT_ONCE */
  readonly loadsAtOnce?: number;
  /** Time for which a loaded adapter stays, so that what waited for it can be sent. @default 400 */
  readonly minResidenceMs?: Milliseconds;
};

type Want = { readonly version: number; readonly since: Milliseconds; until: Milliseconds };

/** Time after which a use of an adapter weighs half. */
const POPULARITY_HALF_LIFE_MS: Milliseconds = 8000;

/** Time for which an order without an answer is taken as accepted though no report shows it. */
const UNSETTLED_MS: Milliseconds = 1000;

/**
 * Decides which adapters and base models one engine holds.
 *
 * Entries say what they want and which adapters their running requests use. An adapter in use is
 * never unloaded; of the others the least popular one makes way. Places of adapters on their way
 * and of orders whose answer was lost count as taken, since an engine that is ordered beyond its
 * places ends.
 */
export class AdapterPlaces {
  readonly #options: Required<AdapterPlacesOptions>;

  readonly #popularity = new Popularity(POPULARITY_HALF_LIFE_MS);

  readonly #wants = new Map<ModelName, Want>();

  /** Uses of adapters by entry. */
  readonly #uses = new Map<string, Map<ModelName, number>>();

  /** When an adapter was first seen on the engine. */
  readonly #heldSince = new Map<ModelName, Milliseconds>();

  /** Adapters ordered without an answer, with the time until which their places count as taken. */
  readonly #unsettled = new Map<ModelName, Milliseconds>();

  #engine: Engine | undefined;

  #state: EngineHoldings = { holdings: [], coming: [], isBusy: false };

  constructor(options: AdapterPlacesOptions = {}) {
    this.#options = { loadsAtOnce: ADAPTER_LOADS_AT_ONCE, minResidenceMs: 400, ...options };
  }

  /** Adapters that are wanted and not held. */
  get awaited(): number {
    return this.#wants.size;
  }

  /** Takes what engines of the service can hold. */
  applyEngine(engine: Engine): void {
    this.#engine = engine;
  }

  /** Takes a fresh report of the engine. */
  applyHoldings(state: EngineHoldings, now: Milliseconds): void {
    this.#state = state;
    const held = new Set(state.holdings.map(({ name }) => name));
    for (const { name, version } of state.holdings) {
      if (!this.#heldSince.has(name)) this.#heldSince.set(name, now);
      const want = this.#wants.get(name);
      if (want !== undefined && version >= want.version) this.#wants.delete(name);
    }
    for (const name of [...this.#heldSince.keys()]) {
      if (!held.has(name)) this.#heldSince.delete(name);
    }
    for (const [name, until] of [...this.#unsettled]) {
      if (until <= now || held.has(name)) this.#unsettled.delete(name);
    }
    this.#dropOldWants(now);
  }

  /** Notes that a request waits for an adapter or a base model. */
  want(name: ModelName, version: number, waitMs: Milliseconds, now: Milliseconds): void {
    this.#popularity.note(name, now);
    const holding = this.#state.holdings.find((each) => each.name === name);
    if (holding !== undefined && holding.version >= version) return;
    const known = this.#wants.get(name);
    const until = Math.max(known?.until ?? 0, now + waitMs);
    const newest = Math.max(known?.version ?? 0, version);
    this.#wants.set(name, { version: newest, since: known?.since ?? now, until });
  }

  /** Takes how many running requests of one entry use an adapter. */
  use(entry: string, name: ModelName, count: number, now: Milliseconds): void {
    const uses = this.#uses.get(entry) ?? new Map<ModelName, number>();
    this.#uses.set(entry, uses);
    if (count > (uses.get(name) ?? 0)) this.#popularity.note(name, now);
    if (count > 0) uses.set(name, count);
    else uses.delete(name);
  }

  /** Forgets the uses of an entry whose link has ended. */
  forgetEntry(entry: string): void {
    this.#uses.delete(entry);
  }

  /** Notes that an order's answer was lost. */
  noteUnsettled(order: PlaceOrder, now: Milliseconds): void {
    if (order.kind === 'load') this.#unsettled.set(order.name, now + UNSETTLED_MS);
  }

  /** Places that are empty or could be emptied at once. */
  freeablePlaces(now: Milliseconds): number {
    if (this.#engine === undefined) return 0;
    const empty = this.#engine.adapterPlaces - this.#takenPlaces();
    return Math.max(0, empty) + this.#victims(now).length;
  }

  /** Returns the order that the engine should get now, if any; a report must be taken after it. */
  nextOrder(now: Milliseconds): PlaceOrder | undefined {
    const engine = this.#engine;
    if (engine === undefined || this.#state.isBusy) return undefined;
    return this.#modelOrder(engine) ?? this.#adapterOrder(engine, now);
  }

  #modelOrder(engine: Engine): PlaceOrder | undefined {
    const held = new Set(this.#state.holdings.map(({ name }) => name));
    const models = engine.models.filter(({ name }) => held.has(name));
    const usedMb = models.reduce((sum, { weightsMb }) => sum + weightsMb, 0);
    const adaptersMb = engine.adapterPlaces * Math.max(0, ...engine.models.map((m) => m.adapterMb));
    const missing = engine.models.filter(
      ({ name, weightsMb }) =>
        !held.has(name) &&
        !this.#unsettled.has(name) &&
        usedMb + weightsMb + adaptersMb <= engine.weightsMb,
    );
    const wanted = missing.find(({ name }) => this.#isModelWanted(name));
    const model = wanted ?? (models.length === 0 ? missing[0] : undefined);
    return model === undefined ? undefined : { kind: 'load', name: model.name };
  }

  #isModelWanted(model: string): boolean {
    return [...this.#wants.keys()].some((name) => splitModelName(name).model === model);
  }

  #adapterOrder(engine: Engine, now: Milliseconds): PlaceOrder | undefined {
    const { coming } = this.#state;
    if (coming.length + this.#unsettled.size >= this.#options.loadsAtOnce) return undefined;
    const want = this.#oldestWant();
    if (want === undefined) return undefined;
    if (this.#takenPlaces() < engine.adapterPlaces) {
      return { kind: 'load', name: want.name, ...(want.version > 0 && { version: want.version }) };
    }
    const victim = this.#victims(now)[0];
    return victim === undefined ? undefined : { kind: 'unload', name: victim };
  }

  #oldestWant(): { readonly name: ModelName; readonly version: number } | undefined {
    const models = new Set(this.#state.holdings.map(({ name }) => name));
    const coming = new Set(this.#state.coming.map(({ name }) => name));
    let oldest: { name: ModelName; version: number; since: Milliseconds } | undefined;
    for (const [name, { version, since }] of this.#wants) {
      const { model, adapter } = splitModelName(name);
      const isOpen = adapter !== undefined && models.has(model);
      const isUnderWay = coming.has(name) || this.#unsettled.has(name);
      if (isOpen && !isUnderWay && (oldest === undefined || since < oldest.since)) {
        oldest = { name, version, since };
      }
    }
    return oldest;
  }

  #takenPlaces(): number {
    const held = this.#state.holdings.filter(({ name }) => isAdapter(name)).length;
    return held + this.#state.coming.length + this.#unsettled.size;
  }

  /** Adapters that may make way, the least popular first. */
  #victims(now: Milliseconds): readonly ModelName[] {
    const used = new Set([...this.#uses.values()].flatMap((uses) => [...uses.keys()]));
    return this.#state.holdings
      .filter(
        ({ name }) =>
          isAdapter(name) &&
          !used.has(name) &&
          !this.#wants.has(name) &&
          now - (this.#heldSince.get(name) ?? now) >= this.#options.minResidenceMs,
      )
      .map(({ name }) => ({ name, score: this.#popularity.of(name, now) }))
      .sort((a, b) => a.score - b.score)
      .map(({ name }) => name);
  }

  #dropOldWants(now: Milliseconds): void {
    for (const [name, { until }] of [...this.#wants]) {
      if (until <= now) this.#wants.delete(name);
    }
  }
}
