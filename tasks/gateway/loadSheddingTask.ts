import { shouldShed } from '../../core/admission/mod.ts';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import { repeatSteps } from '../_repeatSteps.ts';

/** Options of `LoadSheddingTask`. */
export type LoadSheddingTaskOptions = {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Mean event-loop lags last reported by other entries. */
  readonly peerLagsMs: () => readonly Milliseconds[];
  /** Called when load shedding starts or ends. */
  readonly onChange: (isShedding: boolean) => void;
};

/** Interval between lag samples; each costs a wake-up. */
const SAMPLE_INTERVAL_MS: Milliseconds = 100;

/** Lag from which on it is logged. */
const STALL_MS: Milliseconds = 500;

/** Weight of the newest lag in the moving mean, which covers about the last 500 ms. */
const LAG_WEIGHT = 0.2;

/** Measures the event-loop lag, and sheds load while it is far higher than on other entries. */
export class LoadSheddingTask {
  readonly #options: LoadSheddingTaskOptions;

  #lagMs: Milliseconds = 0;

  #isShedding = false;

  #changedAt: Milliseconds;

  /** When the next sample is due. */
  #dueAt: Milliseconds = 0;

  #cancelSample: (() => void) | undefined;

  constructor(options: LoadSheddingTaskOptions) {
    this.#options = options;
    this.#changedAt = options.clock.now();
    options.metrics.gauge('mean_lag_ms', () => Math.round(this.#lagMs));
  }

  /** Mean event-loop lag: the delay of timers. */
  get lagMs(): Milliseconds {
    return this.#lagMs;
  }

  /** Starts sampling. */
  start(): void {
    const { clock, log } = this.#options;
    this.#dueAt = clock.now() + SAMPLE_INTERVAL_MS;
    this.#cancelSample = repeatSteps({
      task: 'load-shedding',
      clock,
      log,
      intervalMs: () => SAMPLE_INTERVAL_MS,
      steps: [() => this.#sample()],
    });
  }

  /** Stops sampling. */
  close(): void {
    this.#cancelSample?.();
  }

  #sample(): void {
    const { clock, log, metrics } = this.#options;
    const now = clock.now();
    const lagMs = Math.max(0, now - this.#dueAt);
    this.#dueAt = now + SAMPLE_INTERVAL_MS;
    metrics.record('loop_lag_ms', lagMs);
    if (lagMs >= STALL_MS) log('loopStalled', { lagMs: Math.round(lagMs) });
    this.#lagMs += (lagMs - this.#lagMs) * LAG_WEIGHT;
    this.#updateShedding();
  }

  #updateShedding(): void {
    const { clock, log, peerLagsMs, onChange } = this.#options;
    const now = clock.now();
    const lagMs = this.#lagMs;
    const lags = peerLagsMs();
    const isShedding = this.#isShedding;
    const nextIsShedding = shouldShed({
      lagMs,
      peerLagsMs: lags,
      sinceChangeMs: now - this.#changedAt,
      isShedding,
    });
    if (nextIsShedding === isShedding) return;
    this.#isShedding = nextIsShedding;
    this.#changedAt = now;
    const rounded = lags.map((lag) => Math.round(lag)).join(' ');
    log(nextIsShedding ? 'sheddingBegun' : 'sheddingEnded', {
      lagMs: Math.round(lagMs),
      peerLagsMs: rounded,
    });
    onChange(nextIsShedding);
  }
}
