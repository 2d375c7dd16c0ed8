import type { Clock, Milliseconds } from '../../core/clock/mod.ts';

/**
 * Time after the start in which requests are held instead of refused; the store's records and the
 * keepers' reports arrive within about 300 ms.
 */
const STARTUP_HOLD_MS: Milliseconds = 600;

/** Interval at which a held request is checked again. */
const RECHECK_INTERVAL_MS: Milliseconds = 50;

/** A request that is held before it is accepted. */
export type HeldRequest = {
  /** Whether requests need not be held any more. */
  readonly canAccept: () => boolean;
  /** Calls a function when the caller disconnects. */
  readonly onDisconnect: (run: () => void) => void;
  readonly accept: () => void;
  /** Called instead of `accept` if the caller has left before. */
  readonly onGone: () => void;
};

/**
 * Holds requests while the process discovers its servers after the start.
 *
 * A refused caller would wait for longer before its retry than the discovery takes.
 */
export class StartupHold {
  readonly #clock: Clock;

  readonly #until: Milliseconds;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#until = clock.now() + STARTUP_HOLD_MS;
  }

  /** Whether requests may still be held. */
  get isActive(): boolean {
    return this.#clock.now() < this.#until;
  }

  /** Schedules another check of a held request. */
  recheckLater(recheck: () => void): void {
    this.#clock.schedule(RECHECK_INTERVAL_MS, recheck);
  }

  /** Accepts a request as soon as that is possible and its caller is still there. */
  holdUntil({ canAccept, onDisconnect, accept, onGone }: HeldRequest): void {
    let isDisconnected = false;
    let isAccepted = false;
    onDisconnect(() => {
      isDisconnected = true;
      if (!isAccepted) onGone();
    });
    const recheck = (): void => {
      if (isDisconnected) return;
      if (canAccept()) {
        isAccepted = true;
        accept();
      } else this.recheckLater(recheck);
    };
    this.recheckLater(recheck);
  }
}
