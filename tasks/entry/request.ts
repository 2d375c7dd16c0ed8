import type { Milliseconds } from '../../core/clock/mod.ts';
import type { AdapterVersion } from '../../core/identity/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';

/** A caller's request for a completion. */
export type CompletionRequest = {
  readonly kind: 'completion';
  /** `tenant/adapter@version` or a route name. */
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** The engine schedules higher values first. */
  readonly priority: number;
};

/** A caller's request to a plain service or about one of its idempotency keys. */
export type ServiceRequest =
  | { readonly kind: 'mint-key'; readonly service: string }
  | {
      readonly kind: 'service-call';
      readonly service: string;
      readonly key: string;
      readonly body: string;
    }
  | {
      readonly kind: 'lookup-key' | 'revoke-key';
      readonly service: string;
      readonly key: string;
    };

/** Any request that a caller sends to an entry. */
export type CallerRequest = CompletionRequest | ServiceRequest;

/** A caller's request with its credentials, timeout and event callback. */
export type Submission = {
  /** Request id in responses and logs. */
  readonly requestId: string;
  /** SHA-256 of the caller's token, in hexadecimal. */
  readonly tokenSha256: string;
  readonly request: CallerRequest;
  readonly timeoutMs: Milliseconds;
  readonly onEvent: (event: SubmissionEvent) => void;
};

/** An event of a request that is delivered to the caller; `final` is the last. */
export type SubmissionEvent =
  | {
      readonly kind: 'started';
      readonly servedBy: AdapterVersion;
      /** The host of the backend server that serves the request. */
      readonly host: string;
    }
  | { readonly kind: 'chunk'; readonly text: string; readonly tokens: number }
  | {
      readonly kind: 'final';
      readonly outcome: Outcome;
      readonly tokens: number;
      readonly digest: string;
      readonly body: string;
      readonly generation: number;
    };
