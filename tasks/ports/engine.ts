import type { AdapterVersion, ExchangeId, Incarnation } from '../../core/identity/mod.ts';

/** State that an engine reports. */
export type EngineState = {
  readonly incarnation: Incarnation;
  /** The highest fencing number in any order received; 0 at start. */
  readonly fencingNumber: number;
  readonly resident: readonly AdapterVersion[];
  readonly slots: number;
  readonly batchWidth: number;
  readonly running: number;
  readonly waiting: number;
};

/** An order to load or unload an adapter version. */
export type EngineOrder = {
  readonly kind: 'load' | 'unload';
  readonly adapterVersion: AdapterVersion;
  readonly fencingNumber: number;
};

/** Outcome of an order; `fenced` means that an order with a higher fencing number came first. */
export type OrderReply =
  | { readonly kind: 'obeyed' }
  | { readonly kind: 'fenced'; readonly current: number }
  | { readonly kind: 'refused'; readonly detail: string }
  | { readonly kind: 'lost'; readonly detail: string };

/** A completion request to an engine. */
export type EngineCall = {
  /** Identifies the stream at the engine, for resuming and cancelling it. */
  readonly stream: ExchangeId;
  readonly adapterVersion: AdapterVersion;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  /** Number of tokens of the stream already received. */
  readonly resumeFrom: number;
};

/** An event of a stream; the last four kinds end it. */
export type EngineEvent =
  | { readonly kind: 'started'; readonly servedBy: AdapterVersion }
  | { readonly kind: 'chunk'; readonly text: string; readonly tokens: number }
  | { readonly kind: 'ended'; readonly tokens: number }
  /** The engine did not run the call. */
  | { readonly kind: 'refused'; readonly detail: string }
  /** The engine ran the call and aborted it. */
  | { readonly kind: 'failed'; readonly detail: string }
  /** The connection was lost; the engine may still be running the call. */
  | { readonly kind: 'lost'; readonly detail: string };

/** Client of a model engine. */
export type Engine = {
  /** Reads the engine's state; rejects when the engine does not respond. */
  readonly readState: () => Promise<EngineState>;
  /** Sends an order; never rejects. */
  readonly order: (order: EngineOrder) => Promise<OrderReply>;
  /** Starts or resumes a stream; returns a function that unsubscribes and cancels it. */
  readonly stream: (call: EngineCall, onEvent: (event: EngineEvent) => void) => () => void;
};
