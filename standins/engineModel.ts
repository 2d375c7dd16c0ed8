import type { Clock, Milliseconds } from '../core/clock/mod.ts';
import type { AdapterVersion, ExchangeName } from '../core/identity/mod.ts';
import type {
  Engine,
  EngineCall,
  EngineEvent,
  EngineOrder,
  EngineState,
  OrderReply,
} from '../tasks/ports/mod.ts';
import { answerToken } from './answers.ts';
import type { WeightStore } from './weightStore.ts';

/** How a stand-in engine behaves. */
export type EngineModelOptions = {
  readonly clock: Clock;
  readonly store: WeightStore;
  readonly slots: number;
  /** Sequences in one step. @default 16 */
  readonly batchWidth?: number;
  /** Time of a step with one sequence. @default 20 */
  readonly stepMs?: Milliseconds;
  /** Time that each further sequence adds to a step. @default 0.5 */
  readonly stepMsPerSequence?: Milliseconds;
  /** Requests in flight above which loads take longer. @default 16 */
  readonly fullSpeedInFlight?: number;
  /** Refuses orders with an old fencing number. @default true */
  readonly honoursFencing?: boolean;
  /** Returns one token of an answer. @default answerToken */
  readonly answer?: typeof answerToken;
};

type Sequence = {
  readonly call: EngineCall;
  readonly servedBy: AdapterVersion;
  listener: ((event: EngineEvent) => void) | undefined;
  next: number;
};

/** What one order did, for observers. */
export type OrderRecord = {
  readonly order: EngineOrder;
  readonly reply: OrderReply['kind'];
  /** Sequences of the adapter version that ran or waited when the order came. */
  readonly inUse: number;
};

/** A small model of an engine with continuous batching and adapter slots. */
export class EngineModel implements Engine {
  readonly #options: Required<EngineModelOptions>;

  readonly #resident = new Set<AdapterVersion>();

  readonly #loading = new Set<AdapterVersion>();

  #sequences = new Map<ExchangeName, Sequence>();

  #starts = 1;

  #fencingNumber = 0;

  #stepping = false;

  #impostor: AdapterVersion | undefined;

  #steps = 0;

  #sequenceSteps = 0;

  #adapterSteps = 0;

  /** Every order since the model was built. */
  readonly orders: OrderRecord[] = [];

  constructor(options: EngineModelOptions) {
    this.#options = {
      batchWidth: 16,
      stepMs: 20,
      stepMsPerSequence: 0.5,
      fullSpeedInFlight: 16,
      honoursFencing: true,
      answer: answerToken,
      ...options,
    };
  }

  /** Steps taken, sequences in them, and distinct adapters in them. */
  get work(): {
    readonly steps: number;
    readonly sequences: number;
    readonly adapters: number;
  } {
    return { steps: this.#steps, sequences: this.#sequenceSteps, adapters: this.#adapterSteps };
  }

  /** Lets the next answers name another adapter version. */
  impersonate(adapterVersion: AdapterVersion | undefined): void {
    this.#impostor = adapterVersion;
  }

  /** Restarts the engine cold; every stream breaks off. */
  restart(): void {
    this.#starts += 1;
    this.#fencingNumber = 0;
    this.#resident.clear();
    this.#loading.clear();
    const broken = [...this.#sequences.values()];
    this.#sequences = new Map();
    broken.forEach(({ listener }) => listener?.({ kind: 'lost', detail: 'the engine restarted' }));
  }

  readState(): Promise<EngineState> {
    const { slots, batchWidth } = this.#options;
    const running = Math.min(this.#sequences.size, batchWidth);
    return Promise.resolve({
      incarnation: `start-${this.#starts}`,
      fencingNumber: this.#fencingNumber,
      resident: [...this.#resident],
      slots,
      batchWidth,
      running,
      waiting: this.#sequences.size - running,
    });
  }

  async order(order: EngineOrder): Promise<OrderReply> {
    const inUse = this.#inUse(order.adapterVersion);
    const reply = await this.#obey(order);
    this.orders.push({ order, reply: reply.kind, inUse });
    return reply;
  }

  stream(call: EngineCall, onEvent: (event: EngineEvent) => void): () => void {
    const { stream, adapterVersion } = call;
    const known = this.#sequences.get(stream);
    if (known !== undefined) {
      known.listener = onEvent;
      known.next = call.resumeFrom;
      return () => this.cancel(stream);
    }
    if (!this.#resident.has(adapterVersion)) {
      onEvent({ kind: 'refused', detail: `${adapterVersion} is not loaded; load it first` });
      return () => undefined;
    }
    const servedBy = this.#impostor ?? adapterVersion;
    const sequence = { call, servedBy, listener: onEvent, next: call.resumeFrom };
    this.#sequences.set(stream, sequence);
    this.#keepStepping();
    return () => this.cancel(stream);
  }

  /** Cancels a stream. */
  cancel(stream: ExchangeName): void {
    this.#sequences.delete(stream);
  }

  #inUse(adapterVersion: AdapterVersion): number {
    return [...this.#sequences.values()].filter(
      ({ call }) => call.adapterVersion === adapterVersion,
    ).length;
  }

  async #obey(order: EngineOrder): Promise<OrderReply> {
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
    const start = this.#starts;
    const slowness = Math.max(1, this.#sequences.size / this.#options.fullSpeedInFlight);
    const came = await this.#options.store.load(slowness);
    if (start !== this.#starts) return { kind: 'lost', detail: 'the engine restarted' };
    this.#loading.delete(adapterVersion);
    if (!came) return { kind: 'refused', detail: 'the weight store failed; order the load again' };
    this.#resident.add(adapterVersion);
    return { kind: 'obeyed' };
  }

  #batch(): readonly Sequence[] {
    return [...this.#sequences.values()]
      .sort((a, b) => b.call.priority - a.call.priority)
      .slice(0, this.#options.batchWidth);
  }

  #keepStepping(): void {
    if (this.#stepping || this.#sequences.size === 0) return;
    this.#stepping = true;
    const { clock, stepMs, stepMsPerSequence } = this.#options;
    const batch = this.#batch();
    clock.schedule(stepMs + stepMsPerSequence * (batch.length - 1), () => {
      this.#stepping = false;
      this.#finishStep(batch);
      this.#keepStepping();
    });
  }

  #finishStep(batch: readonly Sequence[]): void {
    const live = batch.filter(({ call }) => this.#sequences.has(call.stream));
    this.#steps += 1;
    this.#sequenceSteps += live.length;
    this.#adapterSteps += new Set(live.map(({ servedBy }) => servedBy)).size;
    live.forEach((sequence) => this.#advance(sequence));
  }

  #advance(sequence: Sequence): void {
    const { call, servedBy } = sequence;
    const index = sequence.next;
    if (index === call.resumeFrom) sequence.listener?.({ kind: 'started', servedBy });
    const text = this.#options.answer(servedBy, call.prompt, index);
    sequence.next += 1;
    sequence.listener?.({ kind: 'chunk', text, tokens: 1 });
    if (sequence.next < call.maxTokens) return;
    this.#sequences.delete(call.stream);
    sequence.listener?.({ kind: 'ended', tokens: call.maxTokens });
  }
}
