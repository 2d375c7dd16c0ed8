import type { Clock, Milliseconds } from '../../core/clock/mod.ts';

/**
 * Time after the start of a process in which it does not yet refuse for want of knowledge: what the
 * store and the keepers say is there within about three tenths of a second.
 */
const HOLD_MS: Milliseconds = 600;

/** Time until a held request is looked at again. */
const LOOK_MS: Milliseconds = 50;

/**
 * Holds requests of a process that has just started, since a caller that is refused then stays away for
 * longer than the process needs to learn whom it can ask.
 */
export class StartingHold {
  readonly #clock: Clock;

  readonly #until: Milliseconds;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#until = clock.now() + HOLD_MS;
  }

  /** Whether requests are still held. */
  get isOpen(): boolean {
    return this.#clock.now() < this.#until;
  }

  /** Looks at a request again a little later. */
  again(look: () => void): void {
    this.#clock.schedule(LOOK_MS, look);
  }
}
