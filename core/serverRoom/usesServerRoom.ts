import type { Deployment, Route } from '../serving/mod.ts';

/**
 * Largest ratio of a stream's objective to its longest pause at which the first event has as little time
 * as the gaps between events, so that neither waits nor prefill beside a stream are absorbed.
 */
const MAX_OBJECTIVE_PER_PAUSE = 2.25;

function hasTightObjective({ isStream, objectiveMs, maxPauseMs }: Route): boolean {
  return (
    isStream && maxPauseMs !== undefined && objectiveMs <= maxPauseMs * MAX_OBJECTIVE_PER_PAUSE
  );
}

/** Whether servers are chosen by their capacity over all entries in a deployment. */
export function usesServerRoom(
  deployment: Pick<Deployment, 'tenantsByKey' | 'routes'> | undefined,
): boolean {
  if (deployment === undefined) return false;
  return deployment.tenantsByKey !== undefined || deployment.routes.some(hasTightObjective);
}
