import type { Clock, Milliseconds } from '../core/clock/mod.ts';
import type { AdapterVersion, ExchangeId } from '../core/identity/mod.ts';
import type {
  Engine,
  EngineCall,
  EngineEvent,
  EngineOrder,
  EngineState,
  OrderReply,
} from '../tasks/ports/mod.ts';
import { completionToken } from './completionText.ts';
import type { WeightStore } from './weightStore.ts';

/** Options of a stand-in engine. */
export type SimulatedEngineOptions = {
  readonly clock: Clock;
  readonly store: WeightStore;
  readonly slots: number;
  /** Maximum number of sequences in a step. @default 16 */
  readonly batchWidth?: number;
  /** Duration of a step with one sequence. @default 20 */
  readonly stepMs?: Milliseconds;
  /** Time that each further sequence adds to a step. @default 0.5 */
  readonly stepMsPerSequence?: Milliseconds;
  /** Requests in flight above which loads slow down in proportion. @default 16 */
  readonly fullSpeedInFlight?: number;
  /** Whether orders with an outdated fencing number are refused. @default true */
  readonly honoursFencing?: boolean;
  /** Returns one token of a completion. @default completionToken */
  readonly generateToken?: typeof completionToken;
};

type Sequence = {
  readonly call: EngineCall;
  readonly servedBy: AdapterVersion;
  listener: ((event: EngineEvent) => void) | undefined;
  /** Index of the next token. */
  next: number;
};

/** An order and its result, for observers. */
export type OrderRecord = {
  readonly order: EngineOrder;
  readonly reply: OrderReply['kind'];
  /** Running and waiting sequences of the adapter version when the order arrived. */
  readonly inUse: number;
};

/** Simulates an engine with continuous batching and adapter slots. */
export class SimulatedEngine implements Engine {
  readonly #options: Required<SimulatedEngineOptions>;

  readonly #resident = new Set<AdapterVersion>();

  readonly #loading = new Set<AdapterVersion>();

  #sequences = new Map<ExchangeId, Sequence>();

  #startCount = 1;

  #fencingNumber = 0;

  #isStepping = false;

  #reportedVersion: AdapterVersion | undefined;

  #stepTotal = 0;

  #sequenceTotal = 0;

  #adapterTotal = 0;

  /** All orders received, oldest first. */
  readonly orders: OrderRecord[] = [];

  constructor(options: SimulatedEngineOptions) {
    this.#options = {
      batchWidth: 16,
      stepMs: 20,
      stepMsPerSequence: 0.5,
      fullSpeedInFlight: 16,
      honoursFencing: true,
      generateToken: completionToken,
      ...options,
    };
  }

  /** Totals over all steps: steps, sequences and distinct adapters per step. */
  get stepTotals(): {
    readonly steps: number;
    readonly sequences: number;
    readonly adapters: number;
  } {
    return { steps: this.#stepTotal, sequences: this.#sequenceTotal, adapters: this.#adapterTotal };
  }

  /**
   * Makes new streams report, and answer as, another adapter version than the requested one;
   * `undefined` ends that.
   */
  impersonate(adapterVersion: AdapterVersion | undefined): void {
    this.#reportedVersion = adapterVersion;
  }

  /** Restarts the engine with no adapters loaded; all streams are lost. */
  restart(): void {
    this.#startCount += 1;
    this.#fencingNumber = 0;
    this.#resident.clear();
    this.#loading.clear();
    const interrupted = [...this.#sequences.values()];
    this.#sequences = new Map();
    interrupted.forEach(({ listener }) =>
      listener?.({ kind: 'lost', detail: 'the engine restarted' }),
    );
  }

  readState(): Promise<EngineState> {
    const { slots, batchWidth } = this.#options;
    const running = Math.min(this.#sequences.size, batchWidth);
    return Promise.resolve({
      incarnation: `start-${this.#startCount}`,
      fencingNumber: this.#fencingNumber,
      resident: [...this.#resident],
      slots,
      batchWidth,
      running,
      waiting: this.#sequences.size - running,
    });
  }

  async order(order: EngineOrder): Promise<OrderReply> {
    const inUse = this.#countSequences(order.adapterVersion);
    const reply = await this.#executeOrder(order);
    this.orders.push({ order, reply: reply.kind, inUse });
    return reply;
  }

  stream(call: EngineCall, onEvent: (event: EngineEvent) => void): () => void {
    const { stream, adapterVersion } = call;
    const existing = this.#sequences.get(stream);
    if (existing !== undefined) {
      existing.listener = onEvent;
      existing.next = call.resumeFrom;
      return () => this.cancel(stream);
    }
    if (!this.#resident.has(adapterVersion)) {
      onEvent({ kind: 'refused', detail: `${adapterVersion} is not loaded; load it first` });
      return () => undefined;
    }
    const servedBy = this.#reportedVersion ?? adapterVersion;
    const sequence = { call, servedBy, listener: onEvent, next: call.resumeFrom };
    this.#sequences.set(stream, sequence);
    this.#scheduleStep();
    return () => this.cancel(stream);
  }

  /** Cancels a stream. */
  cancel(stream: ExchangeId): void {
    this.#sequences.delete(stream);
  }

  #countSequences(adapterVersion: AdapterVersion): number {
    return [...this.#sequences.values()].filter(
      ({ call }) => call.adapterVersion === adapterVersion,
    ).length;
  }

  async #executeOrder(order: EngineOrder): Promise<OrderReply> {
    if (this.#options.honoursFencing && order.fencingNumber < this.#fencingNumber) {
      return { kind: 'fenced', current: this.#fencingNumber };
    }
    this.#fencingNumber = Math.max(this.#fencingNumber, order.fencingNumber);
    if (order.kind === 'load') return this.#load(order.adapterVersion);
    this.#resident.delete(order.adapterVersion);
    return { kind: 'obeyed' };
  }

  async #load(adapterVersion: AdapterVersion): Promise<OrderReply> {
    if (this.#resident.has(adapterVersion)) return { kind: 'obeyed' };
    if (this.#resident.size + this.#loading.size >= this.#options.slots) {
      return { kind: 'refused', detail: 'all slots are taken; unload an adapter first' };
    }
    this.#loading.add(adapterVersion);
    const startNumber = this.#startCount;
    const slowdown = Math.max(1, this.#sequences.size / this.#options.fullSpeedInFlight);
    const ok = await this.#options.store.load(slowdown);
    if (startNumber !== this.#startCount) return { kind: 'lost', detail: 'the engine restarted' };
    this.#loading.delete(adapterVersion);
    if (!ok) return { kind: 'refused', detail: 'the weight store failed; order the load again' };
    this.#resident.add(adapterVersion);
    return { kind: 'obeyed' };
  }

  #selectBatch(): readonly Sequence[] {
    return [...this.#sequences.values()]
      .sort((a, b) => b.call.priority - a.call.priority)
      .slice(0, this.#options.batchWidth);
  }

  #scheduleStep(): void {
    if (this.#isStepping || this.#sequences.size === 0) return;
    this.#isStepping = true;
    const { clock, stepMs, stepMsPerSequence } = this.#options;
    const batch = this.#selectBatch();
    clock.schedule(stepMs + stepMsPerSequence * (batch.length - 1), () => {
      this.#isStepping = false;
      this.#finishStep(batch);
      this.#scheduleStep();
    });
  }

  #finishStep(batch: readonly Sequence[]): void {
    const active = batch.filter(({ call }) => this.#sequences.has(call.stream));
    this.#stepTotal += 1;
    this.#sequenceTotal += active.length;
    this.#adapterTotal += new Set(active.map(({ servedBy }) => servedBy)).size;
    active.forEach((sequence) => this.#advance(sequence));
  }

  #advance(sequence: Sequence): void {
    const { call, servedBy } = sequence;
    const index = sequence.next;
    if (index === call.resumeFrom) sequence.listener?.({ kind: 'started', servedBy });
    const text = this.#options.generateToken(servedBy, call.prompt, index);
    sequence.next += 1;
    sequence.listener?.({ kind: 'chunk', text, tokens: 1 });
    if (sequence.next < call.maxTokens) return;
    this.#sequences.delete(call.stream);
    sequence.listener?.({ kind: 'ended', tokens: call.maxTokens });
  }
}
