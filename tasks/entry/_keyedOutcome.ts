import { unknown } from '../../core/outcome/mod.ts';
import type { NotRunReason, Outcome } from '../../core/outcome/mod.ts';
import type { CallerRequest } from './request.ts';

/** Reasons that tell of the key itself, and so of its call. */
const ABOUT_THE_KEY: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
  'bad-request',
  'unauthorized',
  'forbidden',
  'not-found',
  'revoked',
]);

/**
 * Returns the outcome of a request, which for a lookup or revocation is that of the key's call.
 *
 * That such a request itself did not run says nothing of the call.
 */
export function keyedOutcome(request: CallerRequest, outcome: Outcome): Outcome {
  const isAboutCall = request.kind === 'lookup-key' || request.kind === 'revoke-key';
  if (!isAboutCall || outcome.kind !== 'not-run') return outcome;
  if (ABOUT_THE_KEY.has(outcome.reason)) return outcome;
  return unknown('link-lost', `how the call ended could not be asked: ${outcome.detail}`);
}
