import type { Milliseconds } from '../clock/mod.ts';

/** The name of a base model, `model`, or of an adapter of it, `model/adapter`. */
export type ModelName = string;

/** An adapter or base model that is loaded in an engine. */
export type Holding = { readonly name: ModelName; readonly version: number };

/** The published record of a backend server. */
export type BackendServer = {
  /** Usually changes when the server restarts; `bornAt` tells starts with the same id apart. */
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Version of its software; empty if unknown. */
  readonly softwareVersion: string;
  /** Requests that it processes concurrently. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Loaded base models and adapters; the published list lags behind the engine. */
  readonly holdings: readonly Holding[];
  /** Wall-clock time of its start, in milliseconds since the epoch; 0 if unknown. */
  readonly bornAt: Milliseconds;
  /** Time left until the server exits, if it must shut down at short notice. */
  readonly remainingMs?: Milliseconds;
};

/** Adapters that a keeper loads on one engine concurrently, at most; an engine accepts four. */
export const MAX_CONCURRENT_ADAPTER_LOADS = 3;

/** Tells whether a model name names an adapter. */
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
