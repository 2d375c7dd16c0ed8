import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { ExchangeName } from '../../core/identity/mod.ts';
import type { CompletionCall, ExchangeEvent } from '../../core/link/mod.ts';
import { DONE, failed, notRun, unknown } from '../../core/outcome/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';
import { Residence } from '../../core/residence/mod.ts';
import type {
  LoadRate,
  OrderResult,
  ResidenceAction,
  ResidenceOrder,
} from '../../core/residence/mod.ts';
import type { Log } from '../../log/mod.ts';
import { dispatch } from '../_handlers.ts';
import type { Handlers } from '../_handlers.ts';
import type { Engine, EngineEvent, EngineState, OrderReply } from '../ports/mod.ts';
import { OrderFence } from './orderFence.ts';

/** Messages that an engine's answers become in the sidecar's mailbox. */
export type EngineMessage =
  | { readonly kind: 'engine-state'; readonly state: EngineState }
  | { readonly kind: 'engine-silent'; readonly detail: string }
  | { readonly kind: 'order-reply'; readonly order: ResidenceOrder; readonly reply: OrderReply }
  | {
      readonly kind: 'engine-event';
      readonly exchange: ExchangeName;
      readonly event: EngineEvent;
    };

/** How to build an `EngineRunner`. */
export type EngineRunnerOptions = {
  readonly clock: Clock;
  readonly engine: Engine;
  readonly log: Log;
  /** Adapters that the engine may hold. */
  readonly slots: number;
  readonly loadRate: LoadRate;
  readonly loadsAtOnce: number;
  /** Puts a message into the sidecar's mailbox. */
  readonly post: (message: EngineMessage) => void;
  readonly emit: (exchange: ExchangeName, event: ExchangeEvent) => void;
  /** Time between readings of the engine's state. @default 1000 */
  readonly inspectMs?: Milliseconds;
};

type Stream = {
  readonly call: CompletionCall;
  readonly hash: Hash;
  loadStallMs: Milliseconds;
  queuedMs: Milliseconds;
  tokens: number;
  stop: (() => void) | undefined;
};

const ORDER_RESULTS: Readonly<Record<OrderReply['kind'], OrderResult>> = {
  obeyed: 'obeyed',
  refused: 'refused',
  fenced: 'lost',
  lost: 'lost',
};

const RETRY_AFTER_MS = 500;

/** Adapter versions that a load report names as wanted. */
const REPORTED_WANTED = 16;

const SUPERSEDED = notRun('leaving', 'this host is being replaced; ask again', RETRY_AFTER_MS);

/** A gap between ticks after which the process takes itself to have been paused. */
const PAUSE_MS = 2000;

/** Serves completions by one engine: residence, orders and streams. */
export class EngineRunner {
  readonly #options: EngineRunnerOptions;

  readonly #streams = new Map<ExchangeName, Stream>();

  readonly #residence: Residence;

  readonly #fence = new OrderFence();

  /** Unloads that wait until the engine runs nothing but this process's streams. */
  #deferred: ResidenceOrder[] = [];

  /** Orders of which the residence knows nothing: claims and repeated unloads. */
  readonly #repeats = new Set<ResidenceOrder>();

  /** Whether the engine may run streams that this process does not follow. */
  #hasForeignStreams = false;

  #superseded = false;

  #wokeAt: Milliseconds = 0;

  #batchWidth = 1;

  #ordersInFlight = 0;

  #inspecting = false;

  #lastInspection: Milliseconds;

  #lastTick: Milliseconds;

  constructor(options: EngineRunnerOptions) {
    this.#options = options;
    this.#lastTick = options.clock.now();
    this.#lastInspection = options.clock.now();
    const { slots, loadRate, loadsAtOnce } = options;
    this.#residence = new Residence({ slots, loadRate, loadsAtOnce, batchWidth: 1 });
  }

  /** What load reports say of the engine. */
  get load(): {
    readonly running: number;
    readonly waiting: number;
    readonly batchWidth: number;
    readonly resident: readonly string[];
    readonly wanted: readonly string[];
    readonly freeSlots: number;
    readonly displacedUses: number;
  } {
    const { running, waiting, resident, freeSlots } = this.#residence;
    const wanted = this.#residence.wanted(REPORTED_WANTED);
    const displacedUses = this.#residence.displacedUses(this.#options.clock.now());
    const batchWidth = this.#batchWidth;
    return { running, waiting, resident, wanted, freeSlots, displacedUses, batchWidth };
  }

  /** Whether another process has become the engine's sender of orders. */
  get superseded(): boolean {
    return this.#superseded;
  }

  /** Runs a completion. */
  run(exchange: ExchangeName, call: CompletionCall, deadline: Milliseconds): void {
    this.#notePause();
    if (this.#superseded) {
      this.#refuse(exchange, SUPERSEDED);
      return;
    }
    const now = this.#options.clock.now();
    if (deadline <= now) {
      this.#refuse(exchange, notRun('deadline', 'the request came after its deadline', 0));
      return;
    }
    this.#streams.set(exchange, {
      call,
      hash: createHash('sha256'),
      loadStallMs: 0,
      queuedMs: 0,
      tokens: 0,
      stop: undefined,
    });
    const { adapterVersion } = call;
    this.#perform(this.#residence.enqueue({ name: exchange, adapterVersion, deadline }, now));
  }

  /** Cancels a completion whose caller has gone. */
  cancel(exchange: ExchangeName): void {
    const stream = this.#streams.get(exchange);
    if (stream === undefined) return;
    this.#streams.delete(exchange);
    if (this.#residence.withdraw(exchange)) return;
    stream.stop?.();
    this.#perform(this.#residence.finished(exchange, this.#options.clock.now()));
  }

  /** Tells that time has passed. */
  tick(): void {
    this.#notePause();
    const now = this.#options.clock.now();
    this.#lastTick = now;
    const { inspectMs = 1000 } = this.#options;
    if (now - this.#lastInspection >= inspectMs) this.#inspect();
    this.#perform(this.#residence.tick(now));
  }

  /** Reads the engine's state for the first time. */
  start(): void {
    this.#inspect();
  }

  /** Handles what the engine answered. */
  handle(message: EngineMessage): void {
    this.#notePause();
    dispatch(this.#handlers, message);
  }

  readonly #handlers: Handlers<EngineMessage, void> = {
    'engine-state': ({ state }) => this.#noteState(state),
    'engine-silent': ({ detail }) => {
      this.#inspecting = false;
      this.#residence.doubt();
      this.#options.log('engineDown', { detail });
    },
    'order-reply': ({ order, reply }) => this.#noteReply(order, reply),
    'engine-event': ({ exchange, event }) => this.#noteEvent(exchange, event),
  };

  readonly #performers: Handlers<ResidenceAction, void> = {
    order: ({ order }) => this.#order(order),
    start: ({ request, loadStallMs, queuedMs }) => this.#start(request, loadStallMs, queuedMs),
    refuse: ({ request, outcome }) => this.#refuse(request, outcome),
    inspect: () => this.#inspect(),
  };

  #perform(actions: readonly ResidenceAction[]): void {
    actions.forEach((action) => dispatch(this.#performers, action));
  }

  /** Reads the engine's state, unless an order is on its way and would make it stale. */
  #inspect(): void {
    if (this.#inspecting || this.#ordersInFlight > 0) return;
    this.#inspecting = true;
    this.#lastInspection = this.#options.clock.now();
    this.#options.engine.readState().then(
      (state) => this.#options.post({ kind: 'engine-state', state }),
      (error: unknown) => this.#options.post({ kind: 'engine-silent', detail: String(error) }),
    );
  }

  /** Takes nothing that was known before a pause for true after it. */
  #notePause(): void {
    const now = this.#options.clock.now();
    if (now - this.#lastTick <= PAUSE_MS) return;
    this.#lastTick = now;
    this.#wokeAt = now;
    this.#residence.doubt();
    this.#inspect();
  }

  #noteState(state: EngineState): void {
    this.#inspecting = false;
    if (this.#superseded) return;
    if (this.#lastInspection < this.#wokeAt) {
      this.#inspect();
      return;
    }
    const hadClaimed = this.#fence.hasClaimed;
    const verdict = this.#fence.judge(state);
    if (verdict === 'superseded') {
      this.#supersede();
      return;
    }
    if (verdict === 'claimed') {
      if (hadClaimed) this.#options.log('engineRestarted');
      this.#hasForeignStreams = true;
      this.#assertClaim(state.resident);
    }
    this.#batchWidth = state.batchWidth;
    this.#residence.resize(state.batchWidth);
    this.#noteStreams(state.running + state.waiting);
    if (this.#ordersInFlight + this.#deferred.length > 0) return;
    if (this.#repeatUnloads(state.resident)) return;
    this.#perform(this.#residence.inspected(state.resident, this.#options.clock.now()));
  }

  #noteStreams(streams: number): void {
    if (streams <= this.#residence.running) this.#hasForeignStreams = false;
    if (this.#hasForeignStreams) return;
    const deferred = this.#deferred;
    this.#deferred = [];
    deferred.forEach((order) => this.#send(order));
  }

  /** Shows the engine this process's number before anything resident is used. */
  #assertClaim(resident: readonly string[]): void {
    const [adapterVersion] = resident;
    if (adapterVersion === undefined) return;
    const order: ResidenceOrder = { kind: 'load', adapterVersion };
    this.#repeats.add(order);
    this.#send(order);
  }

  /** Unloads what a lost unload has left resident; returns whether there is such. */
  #repeatUnloads(resident: readonly string[]): boolean {
    const now = this.#options.clock.now();
    const left = resident.filter((adapterVersion) => this.#fence.isDoubtful(adapterVersion, now));
    if (this.#hasForeignStreams) return left.length > 0;
    left.forEach((adapterVersion) => {
      const order: ResidenceOrder = { kind: 'unload', adapterVersion };
      this.#repeats.add(order);
      this.#send(order);
    });
    return left.length > 0;
  }

  /** Leaves the engine to the process that has taken it over. */
  #supersede(): void {
    this.#superseded = true;
    this.#options.log('senderReplaced');
    [...this.#streams.keys()]
      .filter((exchange) => this.#residence.withdraw(exchange))
      .forEach((exchange) => this.#refuse(exchange, SUPERSEDED));
  }

  #order(order: ResidenceOrder): void {
    if (this.#superseded) return;
    const { adapterVersion } = order;
    if (order.kind === 'unload' && this.#hasForeignStreams) {
      this.#deferred.push(order);
      return;
    }
    if (
      order.kind === 'load' &&
      this.#fence.isDoubtful(adapterVersion, this.#options.clock.now())
    ) {
      const detail = `a lost unload of ${adapterVersion} may still be carried out`;
      this.#ordersInFlight += 1;
      this.#options.post({ kind: 'order-reply', order, reply: { kind: 'refused', detail } });
      return;
    }
    this.#send(order);
  }

  #send(order: ResidenceOrder): void {
    this.#ordersInFlight += 1;
    this.#options.engine
      .order({ ...order, fencingNumber: this.#fence.take() })
      .then((reply) => this.#options.post({ kind: 'order-reply', order, reply }))
      .catch((error: unknown) => this.#options.log('internalError', { detail: String(error) }));
  }

  #noteReply(order: ResidenceOrder, reply: OrderReply): void {
    this.#ordersInFlight -= 1;
    const { kind, adapterVersion } = order;
    this.#options.log('orderEnded', { order: kind, adapterVersion, reply: reply.kind });
    const now = this.#options.clock.now();
    if (reply.kind === 'lost') this.#fence.noteLost(order, now);
    if (this.#repeats.delete(order)) {
      if (kind === 'load' || reply.kind !== 'refused') this.#inspect();
      return;
    }
    this.#perform(this.#residence.ordered(order, ORDER_RESULTS[reply.kind], now));
  }

  #start(exchange: ExchangeName, loadStallMs: Milliseconds, queuedMs: Milliseconds): void {
    const stream = this.#streams.get(exchange);
    if (stream === undefined) return;
    stream.loadStallMs = loadStallMs;
    stream.queuedMs = queuedMs;
    const { adapterVersion, prompt, maxTokens, priority } = stream.call;
    stream.stop = this.#options.engine.stream(
      { stream: exchange, adapterVersion, prompt, maxTokens, priority, resumeFrom: 0 },
      (event) => this.#options.post({ kind: 'engine-event', exchange, event }),
    );
  }

  #refuse(exchange: ExchangeName, outcome: Outcome): void {
    this.#streams.delete(exchange);
    this.#options.emit(exchange, { kind: 'final', outcome, tokens: 0, digest: '', body: '' });
  }

  #noteEvent(exchange: ExchangeName, event: EngineEvent): void {
    const stream = this.#streams.get(exchange);
    if (stream !== undefined) dispatch(this.#streamHandlers(exchange, stream), event);
  }

  #streamHandlers(exchange: ExchangeName, stream: Stream): Handlers<EngineEvent, void> {
    return {
      started: ({ servedBy }) => this.#noteStarted(exchange, stream, servedBy),
      chunk: ({ text, tokens }) => {
        stream.tokens += tokens;
        stream.hash.update(text);
        this.#options.emit(exchange, { kind: 'chunk', text, tokens });
      },
      ended: ({ tokens }) => {
        const isWhole = tokens === stream.tokens;
        const detail = `the engine sent ${stream.tokens} of ${tokens} tokens`;
        this.#end(exchange, stream, isWhole ? DONE : failed('damaged-answer', detail));
      },
      refused: ({ detail }) =>
        this.#end(exchange, stream, notRun('overloaded', detail, RETRY_AFTER_MS)),
      failed: ({ detail }) => this.#end(exchange, stream, failed('backend-error', detail)),
      lost: ({ detail }) => {
        this.#hasForeignStreams = true;
        this.#end(exchange, stream, unknown('reply-lost', detail));
        this.#residence.doubt();
        this.#inspect();
      },
    };
  }

  #noteStarted(exchange: ExchangeName, stream: Stream, servedBy: string): void {
    const { adapterVersion } = stream.call;
    if (servedBy !== adapterVersion) {
      this.#options.log('wrongAdapter', { exchange, wanted: adapterVersion, servedBy });
      stream.stop?.();
      const detail = `the engine served ${servedBy}, not ${adapterVersion}`;
      this.#end(exchange, stream, failed('wrong-adapter', detail));
      return;
    }
    const { loadStallMs, queuedMs } = stream;
    this.#options.emit(exchange, { kind: 'started', servedBy, loadStallMs, queuedMs });
  }

  #end(exchange: ExchangeName, stream: Stream, outcome: Outcome): void {
    this.#streams.delete(exchange);
    const digest = outcome.kind === 'done' ? stream.hash.digest('hex') : '';
    const { tokens } = stream;
    this.#options.emit(exchange, { kind: 'final', outcome, tokens, digest, body: '' });
    this.#perform(this.#residence.finished(exchange, this.#options.clock.now()));
  }
}
