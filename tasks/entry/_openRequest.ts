import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';
import type { Cancellation, Milliseconds } from '../../core/clock/mod.ts';
import type { AdapterVersion, ExchangeName } from '../../core/identity/mod.ts';
import type { Call, FinalEvent } from '../../core/link/mod.ts';
import { failed } from '../../core/outcome/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';
import type { LinkTask } from './linkTask.ts';
import type { Submission } from './request.ts';

/** Where a request's call may go. */
export type Destination =
  | { readonly kind: 'pool'; readonly pool: string; readonly adapterVersion: AdapterVersion }
  | { readonly kind: 'service'; readonly service: string }
  | { readonly kind: 'host'; readonly host: string };

/** What an entry remembers of a request until its final event. */
export type OpenRequest = {
  readonly submission: Submission;
  readonly tenant: string;
  readonly call: Call;
  readonly destination: Destination;
  readonly generation: number;
  readonly startedAt: Milliseconds;
  readonly deadline: Milliseconds;
  readonly hash: Hash;
  /** Hosts that have proved not to have run it. */
  readonly tried: Set<string>;
  cancelDeadline: Cancellation;
  exchange: ExchangeName;
  host: string;
  /** The link over which it was sent last. */
  link: LinkTask | undefined;
  tokens: number;
  started: boolean;
  /** Whether the caller closed its connection. */
  isAbandoned: boolean;
  readonly times: RequestTimes;
};

/** When the parts of an answer came. */
export type RequestTimes = {
  firstTokenAt: Milliseconds | undefined;
  lastTokenAt: Milliseconds | undefined;
  loadStallMs: Milliseconds | undefined;
  queuedMs: Milliseconds | undefined;
};

/** What is known of a request when it is accepted. */
export type RequestFacts = Omit<
  OpenRequest,
  | 'hash'
  | 'tried'
  | 'cancelDeadline'
  | 'exchange'
  | 'host'
  | 'link'
  | 'tokens'
  | 'started'
  | 'isAbandoned'
  | 'times'
>;

/** Creates the record of a request that has not been sent. */
export function openRequest(facts: RequestFacts): OpenRequest {
  return {
    ...facts,
    hash: createHash('sha256'),
    tried: new Set(),
    cancelDeadline: () => undefined,
    exchange: '',
    host: '',
    link: undefined,
    tokens: 0,
    started: false,
    isAbandoned: false,
    times: {
      firstTokenAt: undefined,
      lastTokenAt: undefined,
      loadStallMs: undefined,
      queuedMs: undefined,
    },
  };
}

/** Returns the call for a host; at one that may not take work, a keyed call may not begin. */
export function callFor({ call }: OpenRequest, mayTakeWork: boolean): Call {
  return call.kind === 'service-call' ? { ...call, mayBegin: mayTakeWork } : call;
}

/** Returns the outcome after comparing what came with what the sidecar says that it sent. */
export function checkWhole(request: OpenRequest, event: FinalEvent): Outcome {
  if (event.outcome.kind !== 'done' || request.call.kind !== 'completion') return event.outcome;
  const digest = request.hash.digest('hex');
  if (request.tokens === event.tokens && digest === event.digest) return event.outcome;
  return failed('damaged-answer', 'the answer is not whole; ask again');
}
