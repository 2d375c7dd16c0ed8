import { shouldShed } from '../../core/admission/mod.ts';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';

/** How to build a `StrainTask`. */
export type StrainTaskOptions = {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Mean lags of other entries, as last heard. */
  readonly peerLagsMs: () => readonly Milliseconds[];
  /** Told whether callers are to use other entries. */
  readonly changed: (isShedding: boolean) => void;
};

/** Time between looks; each costs a wake-up. */
const LOOK_MS: Milliseconds = 100;

/** Weight of the newest lag in the mean: about the last half second counts. */
const LAG_WEIGHT = 0.2;

/** Watches how far a process is behind its own timers, and asks callers to leave when that is far. */
export class StrainTask {
  readonly #options: StrainTaskOptions;

  #lagMs: Milliseconds = 0;

  #isShedding = false;

  #since: Milliseconds;

  #cancel: (() => void) | undefined;

  constructor(options: StrainTaskOptions) {
    this.#options = options;
    this.#since = options.clock.now();
    options.metrics.gauge('mean_lag_ms', () => Math.round(this.#lagMs));
  }

  /** Mean time by which the process is behind its timers. */
  get lagMs(): Milliseconds {
    return this.#lagMs;
  }

  /** Begins to watch. */
  start(): void {
    const dueAt = this.#options.clock.now() + LOOK_MS;
    this.#cancel = this.#options.clock.schedule(LOOK_MS, () => {
      const lagMs = Math.max(0, this.#options.clock.now() - dueAt);
      this.#lagMs += (lagMs - this.#lagMs) * LAG_WEIGHT;
      this.#decide();
      this.start();
    });
  }

  /** Watches no more. */
  close(): void {
    this.#cancel?.();
  }

  #decide(): void {
    const { clock, log, peerLagsMs, changed } = this.#options;
    const now = clock.now();
    const lagMs = this.#lagMs;
    const lags = peerLagsMs();
    const isShedding = this.#isShedding;
    const next = shouldShed({ lagMs, peerLagsMs: lags, sinceMs: now - this.#since, isShedding });
    if (next === isShedding) return;
    this.#isShedding = next;
    this.#since = now;
    const rounded = lags.map((lag) => Math.round(lag)).join(' ');
    log(next ? 'sheddingBegun' : 'sheddingEnded', {
      lagMs: Math.round(lagMs),
      peerLagsMs: rounded,
    });
    changed(next);
  }
}
