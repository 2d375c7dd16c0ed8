import type { Milliseconds } from '../clock/mod.ts';
import type { Outcome } from '../outcome/mod.ts';

/** How a request counts against an objective; `good` and `caller` spend no budget. */
export const CAUSES = [
  'good',
  'stall',
  'queue',
  'refusal',
  'failure',
  'unknown',
  'caller',
] as const;

/** How a request counts; `caller` is a fault of the caller and is not counted in totals. */
export type Cause = (typeof CAUSES)[number];

/** Measurements of one request, taken by its entry. */
export type RequestSample = {
  readonly tenant: string;
  /** The adapter version, or the service of a request without an adapter. */
  readonly adapter: string;
  /** Availability zone of the backend server; empty when the request reached none. */
  readonly availabilityZone: string;
  readonly outcome: Outcome;
  /** Whether the caller closed its connection first. */
  readonly isAbandoned: boolean;
  readonly firstTokenMs?: Milliseconds | undefined;
  readonly loadStallMs?: Milliseconds | undefined;
  readonly queuedMs?: Milliseconds | undefined;
  /** Mean time between tokens. */
  readonly betweenTokensMs?: Milliseconds | undefined;
};

/** Outcome reasons that are a fault of the caller. */
const CALLER_REASONS: ReadonlySet<string> = new Set([
  'bad-request',
  'unauthorized',
  'forbidden',
  'not-found',
  'too-large',
  'limit',
  'revoked',
  'key-reused',
  'key-expired',
]);

function causeOfDelay(sample: RequestSample): Cause {
  const { loadStallMs = 0, queuedMs = 0 } = sample;
  return loadStallMs > 0 && loadStallMs * 2 >= queuedMs ? 'stall' : 'queue';
}

/**
 * Classifies a request against an objective.
 *
 * @param sample The request.
 * @param firstTokenLimitMs The objective's limit on the time to the first token.
 */
export function causeOf(sample: RequestSample, firstTokenLimitMs: Milliseconds): Cause {
  const { outcome, firstTokenMs = 0 } = sample;
  if (sample.isAbandoned) return 'caller';
  if (outcome.kind === 'done') {
    return firstTokenMs <= firstTokenLimitMs ? 'good' : causeOfDelay(sample);
  }
  if (CALLER_REASONS.has(outcome.reason)) return 'caller';
  if (outcome.kind === 'not-run') return 'refusal';
  return outcome.kind === 'failed' ? 'failure' : 'unknown';
}
