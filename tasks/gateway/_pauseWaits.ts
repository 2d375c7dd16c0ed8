import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { OpenRequest } from './_openRequest.ts';

/** Options of `PauseWaits`. */
export type PauseWaitsOptions = {
  readonly clock: Clock;
  /** Chooses a server for a request and sends it. */
  readonly dispatch: (request: OpenRequest) => void;
  /** Refuses a request for which the pauses end too late. */
  readonly refuse: (request: OpenRequest, retryAfterMs: Milliseconds) => void;
};

/** Longest interval at which a request that waits for the end of a pause is dispatched again. */
const RECHECK_MS: Milliseconds = 50;

/** Holds requests for which only servers are left that have asked for a pause. */
export class PauseWaits {
  readonly #options: PauseWaitsOptions;

  constructor(options: PauseWaitsOptions) {
    this.#options = options;
  }

  /**
   * Holds a request until the end of a pause, or refuses it at once if that is too late for it.
   *
   * @param pauseLeftMs Shortest time until a server may be sent a request.
   * @param maxWaitMs Longest time that the request may wait.
   */
  hold(request: OpenRequest, pauseLeftMs: Milliseconds, maxWaitMs: Milliseconds): void {
    const { clock, dispatch, refuse } = this.#options;
    const now = clock.now();
    request.pauseWaitUntil ??= now + maxWaitMs;
    if (now + pauseLeftMs > request.pauseWaitUntil) {
      refuse(request, pauseLeftMs);
      return;
    }
    request.timers.push(clock.schedule(Math.min(pauseLeftMs, RECHECK_MS), () => dispatch(request)));
  }
}
