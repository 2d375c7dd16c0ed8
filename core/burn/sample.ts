import type { Milliseconds } from '../clock/mod.ts';
import type { Outcome } from '../outcome/mod.ts';

/** What keeps a request from being good; `good` and `caller` burn nothing. */
export const CAUSES = [
  'good',
  'stall',
  'queue',
  'refusal',
  'failure',
  'unknown',
  'caller',
] as const;

/** How a request counts; `caller` is the caller's own doing and counts in no total. */
export type Cause = (typeof CAUSES)[number];

/** How one request went, as its entry saw it. */
export type RequestSample = {
  readonly tenant: string;
  /** The adapter version, or the plain service. */
  readonly adapter: string;
  /** Where it was served; empty when it was not. */
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

const CALLERS_OWN: ReadonlySet<string> = new Set([
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

function lateCause(sample: RequestSample): Cause {
  const { loadStallMs = 0, queuedMs = 0 } = sample;
  return loadStallMs > 0 && loadStallMs * 2 >= queuedMs ? 'stall' : 'queue';
}

/**
 * Says how a request counts against an objective.
 *
 * @param sample The request.
 * @param firstTokenLimitMs The objective's time to the first token.
 */
export function causeOf(sample: RequestSample, firstTokenLimitMs: Milliseconds): Cause {
  const { outcome, firstTokenMs = 0 } = sample;
  if (sample.isAbandoned) return 'caller';
  if (outcome.kind === 'done') {
    return firstTokenMs <= firstTokenLimitMs ? 'good' : lateCause(sample);
  }
  if (CALLERS_OWN.has(outcome.reason)) return 'caller';
  if (outcome.kind === 'not-run') return 'refusal';
  return outcome.kind === 'failed' ? 'failure' : 'unknown';
}
