import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { ExchangeId } from '../../core/identity/mod.ts';
import type { CompletionCall, ExchangeEvent } from '../../core/link/mod.ts';
import { DONE, failed, notRun, unknown } from '../../core/outcome/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';
import { EngineScheduler } from '../../core/residence/mod.ts';
import type {
  LoadRateLimiter,
  OrderResult,
  SchedulerAction,
  SchedulerOrder,
} from '../../core/residence/mod.ts';
import type { Log } from '../../log/mod.ts';
import { dispatch } from '../_handlers.ts';
import type { Handlers } from '../_handlers.ts';
import type { Engine, EngineEvent, EngineState, OrderReply } from '../ports/mod.ts';
import { OrderFence } from './orderFence.ts';

/** Messages in the sidecar's mailbox that carry an engine's responses. */
export type EngineMessage =
  | { readonly kind: 'engine-state'; readonly state: EngineState }
  | { readonly kind: 'engine-unreachable'; readonly detail: string }
  | { readonly kind: 'order-reply'; readonly order: SchedulerOrder; readonly reply: OrderReply }
  | {
      readonly kind: 'engine-event';
      readonly exchange: ExchangeId;
      readonly event: EngineEvent;
    };

/** Options of an `EngineRunner`. */
export type EngineRunnerOptions = {
  readonly clock: Clock;
  readonly engine: Engine;
  readonly log: Log;
  /** Number of adapters that the engine can hold. */
  readonly slots: number;
  readonly loadRate: LoadRateLimiter;
  readonly loadsAtOnce: number;
  /** Posts a message to the sidecar's mailbox. */
  readonly post: (message: EngineMessage) => void;
  readonly emit: (exchange: ExchangeId, event: ExchangeEvent) => void;
  /** Interval between reads of the engine's state. @default 1000 */
  readonly inspectionIntervalMs?: Milliseconds;
};

type Stream = {
  readonly call: CompletionCall;
  readonly textHash: Hash;
  loadStallMs: Milliseconds;
  queuedMs: Milliseconds;
  /** Number of tokens received. */
  tokens: number;
  /** Cancels the stream at the engine; `undefined` until it starts there. */
  stop: (() => void) | undefined;
};

const ORDER_RESULTS: Readonly<Record<OrderReply['kind'], OrderResult>> = {
  obeyed: 'obeyed',
  refused: 'refused',
  fenced: 'lost',
  lost: 'lost',
};

const RETRY_AFTER_MS = 500;

/** Maximum number of wanted adapter versions in a load report. */
const MAX_REPORTED_WANTED = 16;

const SUPERSEDED_OUTCOME = notRun(
  'leaving',
  'this host is being replaced; retry the request',
  RETRY_AFTER_MS,
);

/** Gap between ticks above which the process counts as having been paused. */
const PAUSE_THRESHOLD_MS = 2000;

/** Runs completions on one engine: scheduling, load and unload orders, and streams. */
export class EngineRunner {
  readonly #options: EngineRunnerOptions;

  readonly #streams = new Map<ExchangeId, Stream>();

  readonly #scheduler: EngineScheduler;

  readonly #fence = new OrderFence();

  /** Unloads deferred until the engine runs only streams of this process. */
  #deferredUnloads: SchedulerOrder[] = [];

  /** Orders that the scheduler did not issue: claims and retried unloads. */
  readonly #untrackedOrders = new Set<SchedulerOrder>();

  /** Whether the engine may run streams that this process does not track. */
  #hasForeignStreams = false;

  #isSuperseded = false;

  /** When the end of the last pause of this process was detected. */
  #resumedAt: Milliseconds = 0;

  #batchWidth = 1;

  #ordersInFlight = 0;

  #isInspecting = false;

  /** When the last read of the engine's state started. */
  #lastInspectionAt: Milliseconds;

  #lastTickAt: Milliseconds;

  constructor(options: EngineRunnerOptions) {
    this.#options = options;
    this.#lastTickAt = options.clock.now();
    this.#lastInspectionAt = options.clock.now();
    const { slots, loadRate, loadsAtOnce } = options;
    this.#scheduler = new EngineScheduler({ slots, loadRate, loadsAtOnce, batchWidth: 1 });
  }

  /** The engine's load, as sent in load reports. */
  get load(): {
    readonly running: number;
    readonly waiting: number;
    readonly batchWidth: number;
    readonly resident: readonly string[];
    readonly wanted: readonly string[];
    readonly freeSlots: number;
    readonly displacedUses: number;
  } {
    const { running, waiting, resident, freeSlots } = this.#scheduler;
    const wanted = this.#scheduler.wanted(MAX_REPORTED_WANTED);
    const displacedUses = this.#scheduler.displacedUses(this.#options.clock.now());
    const batchWidth = this.#batchWidth;
    return { running, waiting, resident, wanted, freeSlots, displacedUses, batchWidth };
  }

  /** Whether another process has taken over sending orders to the engine. */
  get isSuperseded(): boolean {
    return this.#isSuperseded;
  }

  /** Runs a completion. */
  run(exchange: ExchangeId, call: CompletionCall, deadline: Milliseconds): void {
    this.#detectPause();
    if (this.#isSuperseded) {
      this.#refuse(exchange, SUPERSEDED_OUTCOME);
      return;
    }
    const now = this.#options.clock.now();
    if (deadline <= now) {
      this.#refuse(exchange, notRun('deadline', 'the request arrived after its deadline', 0));
      return;
    }
    this.#streams.set(exchange, {
      call,
      textHash: createHash('sha256'),
      loadStallMs: 0,
      queuedMs: 0,
      tokens: 0,
      stop: undefined,
    });
    const { adapterVersion } = call;
    this.#performActions(
      this.#scheduler.enqueue({ name: exchange, adapterVersion, deadline }, now),
    );
  }

  /** Cancels a completion. */
  cancel(exchange: ExchangeId): void {
    const stream = this.#streams.get(exchange);
    if (stream === undefined) return;
    this.#streams.delete(exchange);
    if (this.#scheduler.withdraw(exchange)) return;
    stream.stop?.();
    this.#performActions(this.#scheduler.handleRequestEnd(exchange, this.#options.clock.now()));
  }

  /** Reads the engine's state and runs scheduler timers when due; called at a regular interval. */
  tick(): void {
    this.#detectPause();
    const now = this.#options.clock.now();
    this.#lastTickAt = now;
    const { inspectionIntervalMs = 1000 } = this.#options;
    if (now - this.#lastInspectionAt >= inspectionIntervalMs) this.#inspect();
    this.#performActions(this.#scheduler.tick(now));
  }

  /** Starts reading the engine's state. */
  start(): void {
    this.#inspect();
  }

  /** Handles a response of the engine. */
  handle(message: EngineMessage): void {
    this.#detectPause();
    dispatch(this.#handlers, message);
  }

  readonly #handlers: Handlers<EngineMessage, void> = {
    'engine-state': ({ state }) => this.#handleState(state),
    'engine-unreachable': ({ detail }) => {
      this.#isInspecting = false;
      this.#scheduler.requireInspection();
      this.#options.log('engineDown', { detail });
    },
    'order-reply': ({ order, reply }) => this.#handleOrderReply(order, reply),
    'engine-event': ({ exchange, event }) => this.#handleStreamEvent(exchange, event),
  };

  readonly #actionHandlers: Handlers<SchedulerAction, void> = {
    order: ({ order }) => this.#submitOrder(order),
    start: ({ request, loadStallMs, queuedMs }) =>
      this.#startStream(request, loadStallMs, queuedMs),
    refuse: ({ request, outcome }) => this.#refuse(request, outcome),
    inspect: () => this.#inspect(),
  };

  #performActions(actions: readonly SchedulerAction[]): void {
    actions.forEach((action) => dispatch(this.#actionHandlers, action));
  }

  /** Reads the engine's state, unless an order in flight would make the result stale. */
  #inspect(): void {
    if (this.#isInspecting || this.#ordersInFlight > 0) return;
    this.#isInspecting = true;
    this.#lastInspectionAt = this.#options.clock.now();
    this.#options.engine.readState().then(
      (state) => this.#options.post({ kind: 'engine-state', state }),
      (error: unknown) => this.#options.post({ kind: 'engine-unreachable', detail: String(error) }),
    );
  }

  /** Discards the known engine state after a pause of the process, and reads the state again. */
  #detectPause(): void {
    const now = this.#options.clock.now();
    if (now - this.#lastTickAt <= PAUSE_THRESHOLD_MS) return;
    this.#lastTickAt = now;
    this.#resumedAt = now;
    this.#scheduler.requireInspection();
    this.#inspect();
  }

  #handleState(state: EngineState): void {
    this.#isInspecting = false;
    if (this.#isSuperseded) return;
    if (this.#lastInspectionAt < this.#resumedAt) {
      this.#inspect();
      return;
    }
    const hadClaimed = this.#fence.hasClaimed;
    const verdict = this.#fence.check(state);
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
    this.#scheduler.setBatchWidth(state.batchWidth);
    this.#updateForeignStreams(state.running + state.waiting);
    if (this.#ordersInFlight + this.#deferredUnloads.length > 0) return;
    if (this.#retryLostUnloads(state.resident)) return;
    this.#performActions(this.#scheduler.setResident(state.resident, this.#options.clock.now()));
  }

  /** Sends the deferred unloads once the engine runs no foreign streams. */
  #updateForeignStreams(streamCount: number): void {
    if (streamCount <= this.#scheduler.running) this.#hasForeignStreams = false;
    if (this.#hasForeignStreams) return;
    const unloads = this.#deferredUnloads;
    this.#deferredUnloads = [];
    unloads.forEach((order) => this.#sendOrder(order));
  }

  /**
   * Sends the engine this process's fencing number before any resident adapter is used, by loading
   * one that is resident already.
   */
  #assertClaim(resident: readonly string[]): void {
    const [adapterVersion] = resident;
    if (adapterVersion === undefined) return;
    const order: SchedulerOrder = { kind: 'load', adapterVersion };
    this.#untrackedOrders.add(order);
    this.#sendOrder(order);
  }

  /** Retries lost unloads of adapters that are still resident; returns whether there are any. */
  #retryLostUnloads(resident: readonly string[]): boolean {
    const now = this.#options.clock.now();
    const stillResident = resident.filter((adapterVersion) =>
      this.#fence.mayStillUnload(adapterVersion, now),
    );
    if (this.#hasForeignStreams) return stillResident.length > 0;
    stillResident.forEach((adapterVersion) => {
      const order: SchedulerOrder = { kind: 'unload', adapterVersion };
      this.#untrackedOrders.add(order);
      this.#sendOrder(order);
    });
    return stillResident.length > 0;
  }

  /** Stops sending orders and refuses queued requests, as another process has taken over. */
  #supersede(): void {
    this.#isSuperseded = true;
    this.#options.log('senderReplaced');
    [...this.#streams.keys()]
      .filter((exchange) => this.#scheduler.withdraw(exchange))
      .forEach((exchange) => this.#refuse(exchange, SUPERSEDED_OUTCOME));
  }

  #submitOrder(order: SchedulerOrder): void {
    if (this.#isSuperseded) return;
    const { adapterVersion } = order;
    if (order.kind === 'unload' && this.#hasForeignStreams) {
      this.#deferredUnloads.push(order);
      return;
    }
    if (
      order.kind === 'load' &&
      this.#fence.mayStillUnload(adapterVersion, this.#options.clock.now())
    ) {
      const detail = `the engine may still execute a lost unload of ${adapterVersion}`;
      this.#ordersInFlight += 1;
      this.#options.post({ kind: 'order-reply', order, reply: { kind: 'refused', detail } });
      return;
    }
    this.#sendOrder(order);
  }

  #sendOrder(order: SchedulerOrder): void {
    this.#ordersInFlight += 1;
    this.#options.engine
      .order({ ...order, fencingNumber: this.#fence.nextNumber() })
      .then((reply) => this.#options.post({ kind: 'order-reply', order, reply }))
      .catch((error: unknown) => this.#options.log('internalError', { detail: String(error) }));
  }

  #handleOrderReply(order: SchedulerOrder, reply: OrderReply): void {
    this.#ordersInFlight -= 1;
    const { kind, adapterVersion } = order;
    this.#options.log('orderEnded', { order: kind, adapterVersion, reply: reply.kind });
    const now = this.#options.clock.now();
    if (reply.kind === 'lost') this.#fence.recordLostOrder(order, now);
    if (this.#untrackedOrders.delete(order)) {
      if (kind === 'load' || reply.kind !== 'refused') this.#inspect();
      return;
    }
    this.#performActions(this.#scheduler.handleOrderResult(order, ORDER_RESULTS[reply.kind], now));
  }

  #startStream(exchange: ExchangeId, loadStallMs: Milliseconds, queuedMs: Milliseconds): void {
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

  #refuse(exchange: ExchangeId, outcome: Outcome): void {
    this.#streams.delete(exchange);
    this.#options.emit(exchange, { kind: 'final', outcome, tokens: 0, digest: '', body: '' });
  }

  #handleStreamEvent(exchange: ExchangeId, event: EngineEvent): void {
    const stream = this.#streams.get(exchange);
    if (stream !== undefined) dispatch(this.#streamHandlers(exchange, stream), event);
  }

  #streamHandlers(exchange: ExchangeId, stream: Stream): Handlers<EngineEvent, void> {
    return {
      started: ({ servedBy }) => this.#handleStarted(exchange, stream, servedBy),
      chunk: ({ text, tokens }) => {
        stream.tokens += tokens;
        stream.textHash.update(text);
        this.#options.emit(exchange, { kind: 'chunk', text, tokens });
      },
      ended: ({ tokens }) => {
        const isComplete = tokens === stream.tokens;
        const detail = `the engine sent ${stream.tokens} of ${tokens} tokens`;
        this.#endStream(exchange, stream, isComplete ? DONE : failed('damaged-answer', detail));
      },
      refused: ({ detail }) =>
        this.#endStream(exchange, stream, notRun('overloaded', detail, RETRY_AFTER_MS)),
      failed: ({ detail }) => this.#endStream(exchange, stream, failed('backend-error', detail)),
      lost: ({ detail }) => {
        this.#hasForeignStreams = true;
        this.#endStream(exchange, stream, unknown('reply-lost', detail));
        this.#scheduler.requireInspection();
        this.#inspect();
      },
    };
  }

  #handleStarted(exchange: ExchangeId, stream: Stream, servedBy: string): void {
    const { adapterVersion } = stream.call;
    if (servedBy !== adapterVersion) {
      this.#options.log('wrongAdapter', { exchange, wanted: adapterVersion, servedBy });
      stream.stop?.();
      const detail = `the engine served ${servedBy}, not ${adapterVersion}`;
      this.#endStream(exchange, stream, failed('wrong-adapter', detail));
      return;
    }
    const { loadStallMs, queuedMs } = stream;
    this.#options.emit(exchange, { kind: 'started', servedBy, loadStallMs, queuedMs });
  }

  #endStream(exchange: ExchangeId, stream: Stream, outcome: Outcome): void {
    this.#streams.delete(exchange);
    const digest = outcome.kind === 'done' ? stream.textHash.digest('hex') : '';
    const { tokens } = stream;
    this.#options.emit(exchange, { kind: 'final', outcome, tokens, digest, body: '' });
    this.#performActions(this.#scheduler.handleRequestEnd(exchange, this.#options.clock.now()));
  }
}
