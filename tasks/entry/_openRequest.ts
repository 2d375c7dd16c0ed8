import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';
import type { Cancellation, Milliseconds } from '../../core/clock/mod.ts';
import type { AdapterVersion, ExchangeId } from '../../core/identity/mod.ts';
import type { Call, FinalEvent } from '../../core/link/mod.ts';
import { failed } from '../../core/outcome/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';
import type { LinkTask } from './linkTask.ts';
import type { Submission } from './request.ts';

/** The hosts that may receive a request's call. */
export type Destination =
  | { readonly kind: 'pool'; readonly pool: string; readonly adapterVersion: AdapterVersion }
  | { readonly kind: 'service'; readonly service: string }
  | { readonly kind: 'host'; readonly host: string };

/** The state of a request from admission to its final event. */
export type OpenRequest = {
  readonly submission: Submission;
  readonly tenant: string;
  readonly call: Call;
  readonly destination: Destination;
  readonly generation: number;
  readonly startedAt: Milliseconds;
  readonly deadline: Milliseconds;
  /** SHA-256 of the text received so far. */
  readonly textHash: Hash;
  /** Hosts of ended attempts. Retries exclude them, and require that none ran the request. */
  readonly triedHosts: Set<string>;
  cancelDeadline: Cancellation;
  /** The exchange, host and link of the latest attempt; empty before the first. */
  exchange: ExchangeId;
  host: string;
  link: LinkTask | undefined;
  /** Number of tokens received so far. */
  tokens: number;
  /** Whether the response has started. */
  started: boolean;
  /** Whether the caller closed its connection. */
  isAbandoned: boolean;
  readonly timings: RequestTimings;
};

/** Timings of the response, for the burn recorder. */
export type RequestTimings = {
  firstTokenAt: Milliseconds | undefined;
  lastTokenAt: Milliseconds | undefined;
  loadStallMs: Milliseconds | undefined;
  queuedMs: Milliseconds | undefined;
};

/** The fields of a request that are known when it is admitted. */
export type AdmittedRequest = Omit<
  OpenRequest,
  | 'textHash'
  | 'triedHosts'
  | 'cancelDeadline'
  | 'exchange'
  | 'host'
  | 'link'
  | 'tokens'
  | 'started'
  | 'isAbandoned'
  | 'timings'
>;

/** Creates the state of an admitted request that has not been sent yet. */
export function createOpenRequest(admitted: AdmittedRequest): OpenRequest {
  return {
    ...admitted,
    textHash: createHash('sha256'),
    triedHosts: new Set(),
    cancelDeadline: () => undefined,
    exchange: '',
    host: '',
    link: undefined,
    tokens: 0,
    started: false,
    isAbandoned: false,
    timings: {
      firstTokenAt: undefined,
      lastTokenAt: undefined,
      loadStallMs: undefined,
      queuedMs: undefined,
    },
  };
}

/**
 * Returns the call to send to a host.
 *
 * On a host that may not take new work, a service call that has not begun is refused and its key is
 * revoked.
 */
export function callForHost({ call }: OpenRequest, mayTakeWork: boolean): Call {
  return call.kind === 'service-call' ? { ...call, mayBegin: mayTakeWork } : call;
}

/**
 * Returns the outcome of an attempt, checking the received tokens and text of a completion against
 * the count and digest that the sidecar reports.
 */
export function verifyResponse(request: OpenRequest, event: FinalEvent): Outcome {
  if (event.outcome.kind !== 'done' || request.call.kind !== 'completion') return event.outcome;
  const digest = request.textHash.digest('hex');
  if (request.tokens === event.tokens && digest === event.digest) return event.outcome;
  return failed(
    'damaged-answer',
    'the token count or digest does not match the sidecar; retry the request',
  );
}
