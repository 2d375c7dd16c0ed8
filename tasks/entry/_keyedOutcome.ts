import { unknown } from '../../core/outcome/mod.ts';
import type { NotRunReason, Outcome } from '../../core/outcome/mod.ts';
import type { CallerRequest } from './request.ts';

/** Reasons that concern the key itself or access to it, and are therefore reported unchanged. */
const REASONS_ABOUT_KEY: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
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
  if (REASONS_ABOUT_KEY.has(outcome.reason)) return outcome;
  return unknown('link-lost', `the outcome of the call could not be looked up: ${outcome.detail}`);
}
