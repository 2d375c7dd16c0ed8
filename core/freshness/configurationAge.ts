import type { Milliseconds } from '../clock/mod.ts';

/**
 * An upper bound for the age of the configuration in force: the time since the last moment at which it is
 * known to have been the newest one.
 *
 * Moments are times at which a call was sent, not at which its answer arrived. The answer holds for some
 * moment after the call was sent, so a slow answer, a slow host or a pause of the process never makes the
 * configuration look younger than it is.
 */
export class ConfigurationAge {
  #confirmedAt = -Infinity;

  /** Records that the configuration was the newest one at a moment of this process's monotonic clock. */
  noteConfirmed(at: Milliseconds): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
  }

  /** Returns the upper bound; infinite before the first confirmation. */
  ageMs(now: Milliseconds): Milliseconds {
    return now - this.#confirmedAt;
  }
}
