import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { NotRun } from '../../core/outcome/mod.ts';
import { EngineScheduler } from '../../core/residence/mod.ts';
import type {
  OrderResult,
  SchedulerAction,
  EngineSchedulerOptions,
  SchedulerOrder,
} from '../../core/residence/mod.ts';
import type { SimulatedEngine } from '../../standins/mod.ts';
import type { EngineEvent } from '../../tasks/ports/mod.ts';
import type { Arrival } from './trace.ts';

/** Callbacks by which a server reports the progress of a request. */
export type RequestListener = {
  readonly onStarted: (loadStallMs: Milliseconds) => void;
  readonly onToken: () => void;
  readonly onEnded: (outcome: 'done' | 'failed' | 'unknown') => void;
  readonly onRefused: (outcome: NotRun, waitedMs: Milliseconds) => void;
};

/** A request that an entry submits to a server. */
export type ServerRequest = {
  readonly arrival: Arrival;
  readonly deadline: Milliseconds;
  readonly listener: RequestListener;
};

/** Options of `SimulatedServer`. */
export type SimulatedServerOptions = {
  readonly clock: Clock;
  readonly name: string;
  readonly availabilityZone: number;
  readonly engine: SimulatedEngine;
  readonly schedulerOptions: EngineSchedulerOptions;
  /** Called for each load; `isWasted` if it failed, or later if the adapter is dropped unused. */
  readonly onLoad: (isWasted: boolean) => void;
};

type PendingRequest = ServerRequest & { readonly receivedAt: Milliseconds };

const ORDER_RESULTS: Readonly<Record<string, OrderResult>> = {
  obeyed: 'obeyed',
  refused: 'refused',
  fenced: 'lost',
  lost: 'lost',
};

/** Simulates one engine and its sidecar's scheduling decisions. */
export class SimulatedServer {
  readonly name: string;

  readonly availabilityZone: number;

  readonly scheduler: EngineScheduler;

  readonly engine: SimulatedEngine;

  readonly #options: SimulatedServerOptions;

  readonly #pending = new Map<string, PendingRequest>();

  readonly #unused = new Set<string>();

  #ordersInFlight = 0;

  #needsInspection = true;

  #isInspecting = false;

  constructor(options: SimulatedServerOptions) {
    this.#options = options;
    this.name = options.name;
    this.availabilityZone = options.availabilityZone;
    this.engine = options.engine;
    this.scheduler = new EngineScheduler(options.schedulerOptions);
  }

  /** Whether a promise of the engine is pending. */
  get awaitsReply(): boolean {
    return this.#ordersInFlight > 0 || this.#isInspecting;
  }

  /** Enqueues a request. */
  submit(request: ServerRequest): void {
    const { arrival, deadline } = request;
    const now = this.#now();
    this.#pending.set(arrival.name, { ...request, receivedAt: now });
    const { name, adapterVersion } = arrival;
    this.#performAll(this.scheduler.enqueue({ name, adapterVersion, deadline }, now));
  }

  /** Cancels a request whose deadline has passed. */
  cancel(name: string): void {
    if (!this.#pending.delete(name) || this.scheduler.withdraw(name)) return;
    this.engine.cancel(name);
    this.#performAll(this.scheduler.handleRequestEnd(name, this.#now()));
  }

  /** Runs the time-based scheduling decisions. */
  tick(): void {
    this.#inspect();
    this.#performAll(this.scheduler.tick(this.#now()));
  }

  /** Restarts the engine with no adapter loaded. */
  restart(): void {
    this.scheduler.requireInspection();
    this.engine.restart();
    this.#unused.forEach(() => this.#options.onLoad(true));
    this.#unused.clear();
    this.#needsInspection = true;
  }

  #now(): Milliseconds {
    return this.#options.clock.now();
  }

  #inspect(): void {
    if (!this.#needsInspection || this.#ordersInFlight > 0) return;
    this.#needsInspection = false;
    this.#isInspecting = true;
    this.engine
      .readState()
      .then(({ resident }) => {
        this.#isInspecting = false;
        this.#performAll(this.scheduler.setResident(resident, this.#now()));
      })
      .catch(() => this.scheduler.requireInspection());
  }

  #performAll(actions: readonly SchedulerAction[]): void {
    actions.forEach((action) => this.#perform(action));
  }

  #perform(action: SchedulerAction): void {
    switch (action.kind) {
      case 'order':
        this.#sendOrder(action.order);
        return;
      case 'start':
        this.#startRequest(action.request, action.loadStallMs);
        return;
      case 'refuse':
        this.#refuseRequest(action.request, action.outcome);
        return;
      default:
        this.#needsInspection = true;
        this.#inspect();
    }
  }

  #sendOrder(order: SchedulerOrder): void {
    this.#ordersInFlight += 1;
    this.engine
      .order({ ...order, fencingNumber: 1 })
      .then(({ kind }) => {
        this.#ordersInFlight -= 1;
        this.#reportLoad(order, kind === 'obeyed');
        const result = ORDER_RESULTS[kind] ?? 'lost';
        this.#performAll(this.scheduler.handleOrderResult(order, result, this.#now()));
      })
      .catch(() => this.scheduler.requireInspection());
  }

  #reportLoad({ kind, adapterVersion }: SchedulerOrder, isObeyed: boolean): void {
    if (kind === 'load' && isObeyed) this.#unused.add(adapterVersion);
    if (kind === 'load') this.#options.onLoad(!isObeyed);
    if (kind === 'unload' && this.#unused.delete(adapterVersion)) this.#options.onLoad(true);
  }

  #startRequest(name: string, loadStallMs: Milliseconds): void {
    const pending = this.#pending.get(name);
    if (pending === undefined) return;
    const { adapterVersion, tokens } = pending.arrival;
    this.#unused.delete(adapterVersion);
    pending.listener.onStarted(loadStallMs);
    this.engine.stream(
      { stream: name, adapterVersion, prompt: '', maxTokens: tokens, priority: 0, resumeFrom: 0 },
      (event) => this.#handleEvent(pending, event),
    );
  }

  #refuseRequest(name: string, outcome: NotRun): void {
    const pending = this.#pending.get(name);
    if (pending === undefined) return;
    this.#pending.delete(name);
    pending.listener.onRefused(outcome, this.#now() - pending.receivedAt);
  }

  #handleEvent(pending: PendingRequest, event: EngineEvent): void {
    if (event.kind === 'chunk') pending.listener.onToken();
    if (event.kind === 'chunk' || event.kind === 'started') return;
    if (!this.#pending.delete(pending.arrival.name)) return;
    if (event.kind === 'ended') pending.listener.onEnded('done');
    else pending.listener.onEnded(event.kind === 'lost' ? 'unknown' : 'failed');
    this.#performAll(this.scheduler.handleRequestEnd(pending.arrival.name, this.#now()));
  }
}
