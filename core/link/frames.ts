import type { Milliseconds } from '../clock/mod.ts';
import type { AdapterVersion, ExchangeId, Incarnation } from '../identity/mod.ts';
import type { DemandTotal, TenantDemand } from '../limits/mod.ts';
import type { Outcome } from '../outcome/mod.ts';

/** Version of the link protocol. */
export const LINK_VERSION = 1;

/** The side of a link: entries open links, sidecars accept them. */
export type Role = 'entry' | 'sidecar';

/** The identity that a process claims in the handshake. */
export type Identity = {
  readonly role: Role;
  readonly host: string;
  readonly incarnation: Incarnation;
};

/** Requests a completion from one version of an adapter. */
export type CompletionCall = {
  readonly kind: 'completion';
  readonly adapterVersion: AdapterVersion;
  readonly tenant: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** The engine schedules higher values first. */
  readonly priority: number;
};

/** Requests a new idempotency key. */
export type MintCall = {
  readonly kind: 'mint-key';
  readonly service: string;
  /** The only tenant that may use the key. */
  readonly tenant: string;
};

/** Calls a plain service under an idempotency key. */
export type ServiceCall = {
  readonly kind: 'service-call';
  readonly service: string;
  readonly tenant: string;
  readonly key: string;
  readonly body: string;
  /** Whether a call that has not begun may begin; false while the host is leaving. */
  readonly mayBegin: boolean;
};

/** Looks up the outcome of the call made under a key. */
export type LookupCall = {
  readonly kind: 'lookup-key';
  readonly service: string;
  readonly tenant: string;
  readonly key: string;
};

/** Revokes a key, so that its call cannot begin unless it already has. */
export type RevokeCall = {
  readonly kind: 'revoke-key';
  readonly service: string;
  readonly tenant: string;
  readonly key: string;
};

/** A call that an entry sends to a sidecar. */
export type Call = CompletionCall | MintCall | ServiceCall | LookupCall | RevokeCall;

/** The engine started to respond and reported the adapter version that serves the request. */
export type StartedEvent = {
  readonly kind: 'started';
  readonly servedBy: AdapterVersion;
  /** Time from arrival until the adapter version was loaded; 0 if it was loaded on arrival. */
  readonly loadStallMs: Milliseconds;
  /** Time from arrival at the sidecar to start at the engine. */
  readonly queuedMs: Milliseconds;
};

/** Part of a streamed response. */
export type ChunkEvent = { readonly kind: 'chunk'; readonly text: string; readonly tokens: number };

/** The last event of an exchange, with its outcome. */
export type FinalEvent = {
  readonly kind: 'final';
  readonly outcome: Outcome;
  /** Total number of tokens in all chunks. */
  readonly tokens: number;
  /** SHA-256 of the text of all chunks, in hexadecimal; empty unless the outcome is `done`. */
  readonly digest: string;
  /** Response body of calls that do not stream. */
  readonly body: string;
};

/** An event of an exchange, which is a call and its response; numbered from 0 within it. */
export type ExchangeEvent = StartedEvent | ChunkEvent | FinalEvent;

/** Load of one backend server as observed by its sidecar. */
export type LoadReport = {
  readonly running: number;
  readonly waiting: number;
  /** Number of sequences that the backend server batches in one step. */
  readonly batchWidth: number;
  readonly resident: readonly AdapterVersion[];
  /** Adapter versions that are loading or wait for a load, up to a limit; absent for services. */
  readonly wanted?: readonly AdapterVersion[];
  /** Slots that are empty or whose adapter version no request needs; absent for services. */
  readonly freeSlots?: number;
  /** Decayed use count of the adapter version that a load would evict; absent for services. */
  readonly displacedUses?: number;
  /** Whether the sidecar takes no new work. */
  readonly leaving: boolean;
  /** Name of the backend server in the configuration set. */
  readonly backendServer: string;
};

/** Identifies the configuration set in force at a process; generation 0 stands for none. */
export type SetStamp = { readonly generation: number; readonly digest: string };

/** An exchange that an entry resumes on a new connection, and the next event it expects. */
export type ResumePoint = { readonly exchange: ExchangeId; readonly nextEvent: number };

/** Frames with which processes read values of the configuration set from each other. */
export type SetFrame =
  | { readonly kind: 'set-read'; readonly name: string }
  /** Reports different sets that were published with the same generation. */
  | {
      readonly kind: 'set-conflict';
      readonly generation: number;
      readonly digests: readonly string[];
    }
  /** Answers `set-read`; `text` is null when the sender does not have the value. */
  | { readonly kind: 'set-value'; readonly name: string; readonly text: string | null };

/** Frames from an entry to a sidecar. */
export type EntryFrame =
  | SetFrame
  | {
      readonly kind: 'hello';
      readonly version: number;
      readonly identity: Identity;
      /** The host to which the entry intends to connect. */
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
      readonly exchange: ExchangeId;
      readonly generation: number;
      /** Time until the deadline when the frame was sent. */
      readonly budgetMs: Milliseconds;
      /** The latest `stamp` received from the sidecar. */
      readonly echo: Milliseconds;
      /** Time between receiving that stamp and sending this frame. */
      readonly sinceEchoMs: Milliseconds;
      readonly call: Call;
    }
  | {
      readonly kind: 'acknowledge';
      readonly exchange: ExchangeId;
      /** Number of the next event that the entry expects; it has received all earlier ones. */
      readonly nextEvent: number;
    }
  | { readonly kind: 'cancel'; readonly exchange: ExchangeId }
  | {
      readonly kind: 'heartbeat';
      readonly set: SetStamp;
      /** Demand at this entry, for the tenants whose demand the sidecar sums. */
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
      /** Exchanges that never arrived and cannot arrive any more. */
      readonly unseen: readonly ExchangeId[];
      /** Time on the sidecar's clock when the frame was sent. */
      readonly stamp: Milliseconds;
      readonly set: SetStamp;
      readonly report: LoadReport;
      /** Demand over all entries, for the tenants whose demand the sidecar sums. */
      readonly demand?: readonly DemandTotal[];
    }
  | {
      readonly kind: 'event';
      readonly exchange: ExchangeId;
      readonly number: number;
      readonly event: ExchangeEvent;
    }
  | {
      readonly kind: 'heartbeat';
      /** Time on the sidecar's clock when the frame was sent. */
      readonly stamp: Milliseconds;
      readonly set: SetStamp;
      readonly report: LoadReport;
      /** Demand over all entries, for the tenants whose demand the sidecar sums. */
      readonly demand?: readonly DemandTotal[];
    }
  | { readonly kind: 'refused'; readonly reason: string };

/** Any frame of the link protocol. */
export type LinkFrame = EntryFrame | SidecarFrame;

/** A frame with its sequence number on the connection, from 0. */
export type Envelope<F extends LinkFrame = LinkFrame> = {
  readonly sequence: number;
  readonly frame: F;
};
