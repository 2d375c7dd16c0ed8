import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { ServerView } from '../../core/dispatch/mod.ts';
import type { ModelName } from '../../core/serving/mod.ts';
import type { OpenRequest } from './_openRequest.ts';

/** Options of `AdapterWaits`. */
export type AdapterWaitsOptions = {
  readonly clock: Clock;
  /** Returns the oldest version of an adapter that may serve requests. */
  readonly minVersionOf: (name: ModelName) => number;
  /** Whether a server may be sent a request, as far as what it says of itself is concerned. */
  readonly isAccessible: (view: ServerView) => boolean;
  /** Whether a server takes a request now, as far as its limit is concerned. */
  readonly isOpen: (view: ServerView) => boolean;
  /** Sends a request to a server that has loaded its adapter. */
  readonly send: (request: OpenRequest, view: ServerView) => void;
  /** Chooses a server again. */
  readonly dispatch: (request: OpenRequest) => void;
  /** Refuses a request whose adapter was not loaded in time. */
  readonly refuse: (request: OpenRequest) => void;
};

/** Holds requests until a server has loaded their adapter. */
export class AdapterWaits {
  readonly #options: AdapterWaitsOptions;

  constructor(options: AdapterWaitsOptions) {
    this.#options = options;
  }

  /** Holds a request until a server holds its adapter, at most for some time. */
  hold(request: OpenRequest, view: ServerView, maxWaitMs: Milliseconds): void {
    const { clock, refuse } = this.#options;
    request.view = view;
    request.isAwaitingAdapter = true;
    request.timers.push(
      clock.schedule(maxWaitMs, () => {
        if (request.isAwaitingAdapter && request.view === view) refuse(request);
      }),
    );
  }

  /** Sends the requests whose adapter a server now holds, or dispatches them again if it can't serve them. */
  noteServerChange(view: ServerView, requests: Iterable<OpenRequest>): void {
    const { minVersionOf, isAccessible, isOpen, send, dispatch } = this.#options;
    for (const request of [...requests]) {
      if (!request.isAwaitingAdapter || request.view !== view) continue;
      const name = request.head.modelName ?? '';
      const isHeld = view.holds(name, minVersionOf(name));
      if (isHeld && isAccessible(view) && isOpen(view)) {
        send(request, view);
      } else if (isHeld || view.keeper === undefined || !isAccessible(view)) {
        request.isAwaitingAdapter = false;
        dispatch(request);
      }
    }
  }
}
