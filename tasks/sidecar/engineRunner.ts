import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { ExchangeName, Incarnation } from '../../core/identity/mod.ts';
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

/** A gap between ticks after which the process takes itself to have been paused. */
const PAUSE_MS = 2000;

/** Serves completions by one engine: residence, orders and streams. */
export class EngineRunner {
  readonly #options: EngineRunnerOptions;

  readonly #streams = new Map<ExchangeName, Stream>();

  readonly #residence: Residence;

  #engineIncarnation: Incarnation = '';

  #fencingNumber = 0;

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
  } {
    const { running, waiting, resident } = this.#residence;
    return { running, waiting, resident, batchWidth: this.#batchWidth };
  }

  /** Runs a completion. */
  run(exchange: ExchangeName, call: CompletionCall, deadline: Milliseconds): void {
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
    const now = this.#options.clock.now();
    const paused = now - this.#lastTick > PAUSE_MS;
    this.#lastTick = now;
    if (paused) this.#residence.doubt();
    const { inspectMs = 1000 } = this.#options;
    if (paused || now - this.#lastInspection >= inspectMs) this.#inspect();
    this.#perform(this.#residence.tick(now));
  }

  /** Reads the engine's state for the first time. */
  start(): void {
    this.#inspect();
  }

  /** Handles what the engine answered. */
  handle(message: EngineMessage): void {
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

  #noteState(state: EngineState): void {
    this.#inspecting = false;
    if (state.incarnation !== this.#engineIncarnation) {
      if (this.#engineIncarnation !== '') this.#options.log('engineRestarted');
      this.#engineIncarnation = state.incarnation;
      this.#fencingNumber = 0;
    }
    if (this.#fencingNumber <= state.fencingNumber) this.#fencingNumber = state.fencingNumber + 1;
    this.#batchWidth = state.batchWidth;
    this.#residence.resize(state.batchWidth);
    if (this.#ordersInFlight > 0) return;
    this.#perform(this.#residence.inspected(state.resident, this.#options.clock.now()));
  }

  #order(order: ResidenceOrder): void {
    this.#ordersInFlight += 1;
    this.#options.engine
      .order({ ...order, fencingNumber: this.#fencingNumber })
      .then((reply) => this.#options.post({ kind: 'order-reply', order, reply }))
      .catch((error: unknown) => this.#options.log('internalError', { detail: String(error) }));
  }

  #noteReply(order: ResidenceOrder, reply: OrderReply): void {
    this.#ordersInFlight -= 1;
    const { kind, adapterVersion } = order;
    this.#options.log('orderEnded', { order: kind, adapterVersion, reply: reply.kind });
    const now = this.#options.clock.now();
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
