import { unknown } from '../../core/outcome/mod.ts';
import type { NotRunReason, Outcome } from '../../core/outcome/mod.ts';
import type { CallerRequest } from './request.ts';

/** Reasons that concern the key itself and therefore also hold for its call. */
const KEY_REASONS: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
  'bad-request',
  'unauthorized',
  'forbidden',
  'not-found',
  'revoked',
]);

/**
 * Returns the outcome to report to the caller.
 *
 * A lookup or revocation reports the outcome of the key's call. If the lookup or revocation itself
 * did not run, the state of that call is unknown.
 */
export function keyedOutcome(request: CallerRequest, outcome: Outcome): Outcome {
  const asksAboutKey = request.kind === 'lookup-key' || request.kind === 'revoke-key';
  if (!asksAboutKey || outcome.kind !== 'not-run') return outcome;
  if (KEY_REASONS.has(outcome.reason)) return outcome;
  return unknown('link-lost', `the outcome of the call could not be looked up: ${outcome.detail}`);
}
