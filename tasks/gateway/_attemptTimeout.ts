import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { mayRunAgain } from '../../core/dispatch/mod.ts';
import type { OpenRequest } from './_openRequest.ts';

/** Shortest timeout of an attempt; a healthy server responds within some tens of milliseconds. */
const MIN_ATTEMPT_TIMEOUT_MS: Milliseconds = 50;

/** Timeout of an attempt until its response head, as a multiple of the route's latency objective. */
const OBJECTIVES_PER_ATTEMPT = 1;

/**
 * Gives up the current attempt of a repeatable request when its server does not respond, so that another
 * server can run it.
 *
 * @param onTimeout Called with the timeout once the attempt has been aborted.
 */
export function scheduleAttemptTimeout(
  request: OpenRequest,
  clock: Clock,
  onTimeout: (timeoutMs: Milliseconds) => void,
): void {
  const { route, attemptEpoch } = request;
  if (route.repeatability === 'once') return;
  const timeoutMs = Math.max(MIN_ATTEMPT_TIMEOUT_MS, route.objectiveMs * OBJECTIVES_PER_ATTEMPT);
  request.timers.push(
    clock.schedule(timeoutMs, () => {
      const isCurrent = !request.isFinished && request.attemptEpoch === attemptEpoch;
      if (!isCurrent || request.isAwaitingAdapter || request.caller.response.hasBegun()) return;
      if (!mayRunAgain({ ...route, mayHaveRunCount: request.mayHaveRunCount + 1 })) return;
      request.attempt?.abort();
      onTimeout(timeoutMs);
    }),
  );
}
