import type { Milliseconds } from '../../core/clock/mod.ts';
import type { AdapterVersion } from '../../core/identity/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';

/** A completion that a caller asks for. */
export type CompletionRequest = {
  readonly kind: 'completion';
  /** `tenant/adapter@version` or a route. */
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
};

/** A plain service's work that a caller asks for. */
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

/** What a caller asks of an entry. */
export type CallerRequest = CompletionRequest | ServiceRequest;

/** A caller's request with what the entry needs to serve it. */
export type Submission = {
  /** Names the request in answers and logs. */
  readonly name: string;
  /** SHA-256 of the caller's token, in hexadecimal. */
  readonly tokenSha256: string;
  readonly request: CallerRequest;
  readonly timeoutMs: Milliseconds;
  readonly onEvent: (event: SubmissionEvent) => void;
};

/** What a caller is told of a request; `final` is the last event. */
export type SubmissionEvent =
  | {
      readonly kind: 'started';
      readonly servedBy: AdapterVersion;
      /** The host that serves the request. */
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
