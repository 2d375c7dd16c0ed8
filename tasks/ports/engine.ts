import type { AdapterVersion, ExchangeName, Incarnation } from '../../core/identity/mod.ts';

/** What an engine says of itself. */
export type EngineState = {
  readonly incarnation: Incarnation;
  /** The highest fencing number that an order has carried; 0 at start. */
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

/** How an order ended. */
export type OrderReply =
  | { readonly kind: 'obeyed' }
  | { readonly kind: 'fenced'; readonly current: number }
  | { readonly kind: 'refused'; readonly detail: string }
  | { readonly kind: 'lost'; readonly detail: string };

/** A completion as the engine gets it. */
export type EngineCall = {
  /** Names the stream at the engine, so that it can be resumed and cancelled. */
  readonly stream: ExchangeName;
  readonly adapterVersion: AdapterVersion;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  /** Tokens of the stream that have been received already. */
  readonly resumeFrom: number;
};

/** What happens to a stream; the last four kinds end it. */
export type EngineEvent =
  | { readonly kind: 'started'; readonly servedBy: AdapterVersion }
  | { readonly kind: 'chunk'; readonly text: string; readonly tokens: number }
  | { readonly kind: 'ended'; readonly tokens: number }
  /** The engine did not run the call. */
  | { readonly kind: 'refused'; readonly detail: string }
  /** The engine ran the call and broke off. */
  | { readonly kind: 'failed'; readonly detail: string }
  /** The connection broke; the engine may still run the call. */
  | { readonly kind: 'lost'; readonly detail: string };

/** A model engine as a sidecar uses it. */
export type Engine = {
  /** Reads the engine's state; rejects when it does not answer. */
  readonly readState: () => Promise<EngineState>;
  /** Gives an order; never rejects. */
  readonly order: (order: EngineOrder) => Promise<OrderReply>;
  /** Starts or resumes a stream; returns a function that stops listening and cancels it. */
  readonly stream: (call: EngineCall, onEvent: (event: EngineEvent) => void) => () => void;
};
