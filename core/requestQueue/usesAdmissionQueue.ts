import type { Deployment } from '../serving/mod.ts';

/**
 * Largest ratio of a stream's objective to its longest pause for which requests queue. Up to it, the first
 * event has as little time as later ones, so that neither a wait nor prefill beside a stream is absorbed.
 */
const MAX_OBJECTIVE_PAUSE_RATIO = 2.25;

/** Whether requests of a deployment wait in order for capacity: it has tenants, or a tight streaming route. */
export function usesAdmissionQueue(
  deployment: Pick<Deployment, 'routes' | 'tenantsByKey'>,
): boolean {
  if (deployment.tenantsByKey !== undefined) return true;
  return deployment.routes.some(
    ({ isStream, objectiveMs, maxPauseMs }) =>
      isStream && maxPauseMs !== undefined && objectiveMs <= maxPauseMs * MAX_OBJECTIVE_PAUSE_RATIO,
  );
}
