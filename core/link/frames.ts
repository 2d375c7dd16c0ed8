import type { Milliseconds } from '../clock/mod.ts';
import type { AdapterVersion, ExchangeName, Incarnation } from '../identity/mod.ts';
import type { DemandTotal, TenantDemand } from '../limits/mod.ts';
import type { Outcome } from '../outcome/mod.ts';

/** The version of the link protocol that this code speaks. */
export const LINK_VERSION = 1;

/** The jobs of processes that open or accept links. */
export type Role = 'entry' | 'sidecar';

/** Who a process says it is at the start of a link. */
export type Identity = {
  readonly role: Role;
  readonly host: string;
  readonly incarnation: Incarnation;
};

/** A completion for one version of one adapter. */
export type CompletionCall = {
  readonly kind: 'completion';
  readonly adapterVersion: AdapterVersion;
  readonly tenant: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Higher goes first at the engine. */
  readonly priority: number;
};

/** Asks for a new idempotency key. */
export type MintCall = {
  readonly kind: 'mint-key';
  readonly service: string;
  /** The only tenant that may use the key. */
  readonly tenant: string;
};

/** Runs a plain service's call under an idempotency key. */
export type ServiceCall = {
  readonly kind: 'service-call';
  readonly service: string;
  readonly tenant: string;
  readonly key: string;
  readonly body: string;
  /** Whether a call that has not begun may begin; the host may be leaving. */
  readonly mayBegin: boolean;
};

/** Asks how the call of a key ended. */
export type LookupCall = {
  readonly kind: 'lookup-key';
  readonly service: string;
  readonly tenant: string;
  readonly key: string;
};

/** Forbids the call of a key unless it has begun. */
export type RevokeCall = {
  readonly kind: 'revoke-key';
  readonly service: string;
  readonly tenant: string;
  readonly key: string;
};

/** Work that an entry asks of a sidecar. */
export type Call = CompletionCall | MintCall | ServiceCall | LookupCall | RevokeCall;

/** The engine began to answer and named what it serves. */
export type StartedEvent = {
  readonly kind: 'started';
  readonly servedBy: AdapterVersion;
  readonly loadStallMs: Milliseconds;
  readonly queuedMs: Milliseconds;
};

/** Part of an answer. */
export type ChunkEvent = { readonly kind: 'chunk'; readonly text: string; readonly tokens: number };

/** The last event of an exchange. */
export type FinalEvent = {
  readonly kind: 'final';
  readonly outcome: Outcome;
  /** Tokens in all chunks. */
  readonly tokens: number;
  /** SHA-256 over the text of all chunks, in hexadecimal; empty unless done. */
  readonly digest: string;
  /** The answer of calls that do not stream. */
  readonly body: string;
};

/** One event of an exchange, numbered from 0 within it. */
export type ExchangeEvent = StartedEvent | ChunkEvent | FinalEvent;

/** Load of one backend server as its sidecar sees it. */
export type LoadReport = {
  readonly running: number;
  readonly waiting: number;
  /** Sequences that the backend server runs in one step. */
  readonly batchWidth: number;
  readonly resident: readonly AdapterVersion[];
  /** Some of the adapter versions that load or wait for a load; absent for plain services. */
  readonly wanted?: readonly AdapterVersion[];
  /** Slots that no request needs; absent for plain services. */
  readonly freeSlots?: number;
  /** Recent uses of the adapter version that a load would displace; absent for plain services. */
  readonly displacedUses?: number;
  readonly leaving: boolean;
  /** Name of the backend server in the set. */
  readonly backendServer: string;
};

/** What a set's reader has in force. */
export type SetStamp = { readonly generation: number; readonly digest: string };

/** An exchange that an entry wants to go on after a new connection. */
export type ResumePoint = { readonly exchange: ExchangeName; readonly nextEvent: number };

/** Frames by which one process reads values of the set from another, in both directions. */
export type SetFrame =
  | { readonly kind: 'set-read'; readonly name: string }
  /** Tells of two different sets that bear one generation. */
  | {
      readonly kind: 'set-conflict';
      readonly generation: number;
      readonly digests: readonly string[];
    }
  /** `text` is null when the value is not held. */
  | { readonly kind: 'set-value'; readonly name: string; readonly text: string | null };

/** Frames from an entry to a sidecar. */
export type EntryFrame =
  | SetFrame
  | {
      readonly kind: 'hello';
      readonly version: number;
      readonly identity: Identity;
      /** The host that the entry means to reach. */
      readonly target: string;
      readonly epoch: number;
      readonly nonce: string;
    }
  | {
      readonly kind: 'proof';
      readonly proof: string;
      readonly resume: readonly ResumePoint[];
      readonly set: SetStamp;
    }
  | {
      readonly kind: 'submit';
      readonly exchange: ExchangeName;
      readonly generation: number;
      /** Time left when the frame was sent. */
      readonly budgetMs: Milliseconds;
      /** The last heartbeat stamp that came from the sidecar. */
      readonly echo: Milliseconds;
      /** Time since that stamp came. */
      readonly sinceEchoMs: Milliseconds;
      readonly call: Call;
    }
  | {
      readonly kind: 'acknowledge';
      readonly exchange: ExchangeName;
      readonly nextEvent: number;
    }
  | { readonly kind: 'cancel'; readonly exchange: ExchangeName }
  | {
      readonly kind: 'heartbeat';
      readonly set: SetStamp;
      /** Demand of the tenants that the sidecar relays. */
      readonly demand?: readonly TenantDemand[];
    };

/** Frames from a sidecar to an entry. */
export type SidecarFrame =
  | SetFrame
  | {
      readonly kind: 'welcome';
      readonly version: number;
      readonly identity: Identity;
      readonly nonce: string;
      readonly proof: string;
    }
  | {
      readonly kind: 'ready';
      /** Exchanges that never arrived and now never will. */
      readonly unseen: readonly ExchangeName[];
      readonly stamp: Milliseconds;
      readonly set: SetStamp;
      readonly report: LoadReport;
      /** Demand over all entries of the tenants that the sidecar relays. */
      readonly demand?: readonly DemandTotal[];
    }
  | {
      readonly kind: 'event';
      readonly exchange: ExchangeName;
      readonly number: number;
      readonly event: ExchangeEvent;
    }
  | {
      readonly kind: 'heartbeat';
      readonly stamp: Milliseconds;
      readonly set: SetStamp;
      readonly report: LoadReport;
      /** Demand over all entries of the tenants that the sidecar relays. */
      readonly demand?: readonly DemandTotal[];
    }
  | { readonly kind: 'refused'; readonly reason: string };

/** Any frame on a link. */
export type LinkFrame = EntryFrame | SidecarFrame;

/** A frame with its number on its connection, from 0. */
export type Envelope<F extends LinkFrame = LinkFrame> = {
  readonly sequence: number;
  readonly frame: F;
};
