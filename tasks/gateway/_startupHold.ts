import type { Clock, Milliseconds } from '../../core/clock/mod.ts';

/**
 * Time after the start in which requests are held instead of refused; the store's records and the
 * keepers' reports arrive within about 300 ms.
 */
const STARTUP_HOLD_MS: Milliseconds = 600;

/** Interval at which a held request is checked again. */
const RECHECK_INTERVAL_MS: Milliseconds = 50;

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
}
