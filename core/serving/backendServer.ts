import type { Milliseconds } from '../clock/mod.ts';

/** An adapter of a base model, `model/adapter`; a base model by itself is `model`. */
export type ModelName = string;

/** An adapter or base model that an engine holds. */
export type Holding = { readonly name: ModelName; readonly version: number };

/** What is published of one backend server. */
export type BackendServer = {
  /** Names one start of the server in most cases; see `bornAt`. */
  readonly id: string;
  readonly service: string;
  /** IP number and port. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Requests that it works on at a time. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Base models and adapters; late. */
  readonly holdings: readonly Holding[];
  /** Wall-clock time of its start, in milliseconds; 0 where it is not known. */
  readonly bornAt: Milliseconds;
  /** Time until a server that was told at short notice to leave is gone. */
  readonly remainingMs?: Milliseconds;
};

/** Adapters that a keeper lets be on their way to one engine at a time; an engine takes four. */
export const ADAPTER_LOADS_AT_ONCE = 3;

/** Tells whether a model name is that of an adapter. */
export function isAdapter(name: ModelName): boolean {
  return name.includes('/');
}

/** Splits a model name into base model and adapter. */
export function splitModelName(name: ModelName): {
  readonly model: string;
  readonly adapter?: string;
} {
  const slash = name.indexOf('/');
  if (slash < 0) return { model: name };
  return { model: name.slice(0, slash), adapter: name.slice(slash + 1) };
}
