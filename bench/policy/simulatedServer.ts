import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { NotRun } from '../../core/outcome/mod.ts';
import { EngineScheduler } from '../../core/residence/mod.ts';
import type {
  OrderResult,
  SchedulerAction,
  EngineSchedulerOptions,
  SchedulerOrder,
} from '../../core/residence/mod.ts';
import type { EngineModel } from '../../standins/mod.ts';
import type { EngineEvent } from '../../tasks/ports/mod.ts';
import type { Arrival } from './trace.ts';

/** What a server tells the owner of a request. */
export type ServerNews = {
  readonly started: (loadStallMs: Milliseconds) => void;
  readonly token: () => void;
  readonly ended: (outcome: 'done' | 'failed' | 'unknown') => void;
  readonly refused: (outcome: NotRun, waitedMs: Milliseconds) => void;
};

/** A request as a server gets it. */
export type ServerRequest = {
  readonly arrival: Arrival;
  readonly deadline: Milliseconds;
  readonly news: ServerNews;
};

/** How to build a `SimulatedServer`. */
export type SimulatedServerOptions = {
  readonly clock: Clock;
  readonly name: string;
  readonly availabilityZone: number;
  readonly engine: EngineModel;
  readonly residence: EngineSchedulerOptions;
  readonly onLoad: (isWasted: boolean) => void;
};

type Held = ServerRequest & { readonly since: Milliseconds };

const ORDER_RESULTS: Readonly<Record<string, OrderResult>> = {
  obeyed: 'obeyed',
  refused: 'refused',
  fenced: 'lost',
  lost: 'lost',
};

/** One engine with the residence decisions of the sidecar beside it. */
export class SimulatedServer {
  readonly name: string;

  readonly availabilityZone: number;

  readonly residence: EngineScheduler;

  readonly engine: EngineModel;

  readonly #options: SimulatedServerOptions;

  readonly #held = new Map<string, Held>();

  readonly #unused = new Set<string>();

  #ordersInFlight = 0;

  #wantsInspection = true;

  #isInspecting = false;

  constructor(options: SimulatedServerOptions) {
    this.#options = options;
    this.name = options.name;
    this.availabilityZone = options.availabilityZone;
    this.engine = options.engine;
    this.residence = new EngineScheduler(options.residence);
  }

  /** Whether the engine owes an answer, which comes as a promise. */
  get awaitsReply(): boolean {
    return this.#ordersInFlight > 0 || this.#isInspecting;
  }

  /** Takes a request. */
  submit(request: ServerRequest): void {
    const { arrival, deadline } = request;
    const now = this.#now();
    this.#held.set(arrival.name, { ...request, since: now });
    const { name, adapterVersion } = arrival;
    this.#perform(this.residence.enqueue({ name, adapterVersion, deadline }, now));
  }

  /** Gives up a request whose deadline has passed. */
  cancel(name: string): void {
    if (!this.#held.delete(name) || this.residence.withdraw(name)) return;
    this.engine.cancel(name);
    this.#perform(this.residence.handleRequestEnd(name, this.#now()));
  }

  /** Tells that time has passed. */
  tick(): void {
    this.#inspect();
    this.#perform(this.residence.tick(this.#now()));
  }

  /** Restarts the engine cold. */
  restart(): void {
    this.residence.requireInspection();
    this.engine.restart();
    this.#unused.forEach(() => this.#options.onLoad(true));
    this.#unused.clear();
    this.#wantsInspection = true;
  }

  #now(): Milliseconds {
    return this.#options.clock.now();
  }

  #inspect(): void {
    if (!this.#wantsInspection || this.#ordersInFlight > 0) return;
    this.#wantsInspection = false;
    this.#isInspecting = true;
    this.engine
      .readState()
      .then(({ resident }) => {
        this.#isInspecting = false;
        this.#perform(this.residence.setResident(resident, this.#now()));
      })
      .catch(() => this.residence.requireInspection());
  }

  #perform(actions: readonly SchedulerAction[]): void {
    actions.forEach((action) => this.#act(action));
  }

  #act(action: SchedulerAction): void {
    switch (action.kind) {
      case 'order':
        this.#order(action.order);
        return;
      case 'start':
        this.#start(action.request, action.loadStallMs);
        return;
      case 'refuse':
        this.#refuse(action.request, action.outcome);
        return;
      default:
        this.#wantsInspection = true;
        this.#inspect();
    }
  }

  #order(order: SchedulerOrder): void {
    this.#ordersInFlight += 1;
    this.engine
      .order({ ...order, fencingNumber: 1 })
      .then(({ kind }) => {
        this.#ordersInFlight -= 1;
        this.#noteLoad(order, kind === 'obeyed');
        const result = ORDER_RESULTS[kind] ?? 'lost';
        this.#perform(this.residence.handleOrderResult(order, result, this.#now()));
      })
      .catch(() => this.residence.requireInspection());
  }

  #noteLoad({ kind, adapterVersion }: SchedulerOrder, isObeyed: boolean): void {
    if (kind === 'load' && isObeyed) this.#unused.add(adapterVersion);
    if (kind === 'load') this.#options.onLoad(!isObeyed);
    if (kind === 'unload' && this.#unused.delete(adapterVersion)) this.#options.onLoad(true);
  }

  #start(name: string, loadStallMs: Milliseconds): void {
    const held = this.#held.get(name);
    if (held === undefined) return;
    const { adapterVersion, tokens } = held.arrival;
    this.#unused.delete(adapterVersion);
    held.news.started(loadStallMs);
    this.engine.stream(
      { stream: name, adapterVersion, prompt: '', maxTokens: tokens, priority: 0, resumeFrom: 0 },
      (event) => this.#noteEvent(held, event),
    );
  }

  #refuse(name: string, outcome: NotRun): void {
    const held = this.#held.get(name);
    if (held === undefined) return;
    this.#held.delete(name);
    held.news.refused(outcome, this.#now() - held.since);
  }

  #noteEvent(held: Held, event: EngineEvent): void {
    if (event.kind === 'chunk') held.news.token();
    if (event.kind === 'chunk' || event.kind === 'started') return;
    if (!this.#held.delete(held.arrival.name)) return;
    if (event.kind === 'ended') held.news.ended('done');
    else held.news.ended(event.kind === 'lost' ? 'unknown' : 'failed');
    this.#perform(this.residence.handleRequestEnd(held.arrival.name, this.#now()));
  }
}
