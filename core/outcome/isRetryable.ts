import type { NotRunReason, Outcome } from './outcome.ts';

const RETRYABLE_REASONS: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
  'overloaded',
  'load-failed',
  'leaving',
  'unreachable',
  'starting',
]);

/**
 * Tells whether a request may be sent to another backend server.
 *
 * Only a request that did not run qualifies, and only if another backend
 * server could give a different response.
 *
 * @example
 * ```ts
 * isRetryable({ kind: 'not-run', reason: 'leaving', detail: '' }); // true
 * ```
 */
export function isRetryable(outcome: Outcome): boolean {
  return outcome.kind === 'not-run' && RETRYABLE_REASONS.has(outcome.reason);
}
