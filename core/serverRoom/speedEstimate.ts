import type { Milliseconds } from '../clock/mod.ts';

/**
 * Why a server is slower than usual: `slow` for the fraction of a second that other processes on its
 * machine take, `faulty` for seconds.
 */
export type SpeedState = 'usual' | 'slow' | 'faulty';

/** Half-life of the recent mean in samples' time, short against a slowness of 600 ms. */
const RECENT_HALF_LIFE_MS: Milliseconds = 80;

/** Half-life of the decay of the recent mean to the usual one while there are no samples. */
const IDLE_HALF_LIFE_MS: Milliseconds = 1500;

/** Least weight of the newest sample in the usual mean, which reflects the machine. */
const USUAL_WEIGHT = 0.005;

/** Samples that the initial value counts for. */
const INITIAL_COUNT = 20;

/** Samples up to which every one counts for the usual mean, since the machine is not known before. */
const MIN_COUNT = 150;

/** Ratio of the recent to the usual mean from which a server is slow; transient slowness is 2.5. */
const SLOW_RATIO = 1.7;

/** Ratio from which a server is faulty at once; faults are 5 and above. */
const FAULTY_RATIO = 3.8;

/** Time after which slowness is no longer expected to end by itself; transient slowness takes 600 ms. */
const MAX_SLOW_MS: Milliseconds = 900;

/** Time after which even the speed of a faulty server counts as its usual one. */
const MAX_FAULTY_MS: Milliseconds = 20_000;

/** Expected length of transient slowness. */
const USUAL_SLOW_MS: Milliseconds = 600;

/** Largest ratio that is believed, so that one pause does not ban a server. */
const MAX_RATIO = 10;

/**
 * Estimates how slow a server is relative to the servers of its service, and tells permanent slowness,
 * transient slowness and faults apart.
 *
 * Samples are relative to the mean of all servers at that time, so that load which all share is no
 * slowness.
 */
export class SpeedEstimate {
  #usual = 1;

  #recent = 1;

  #count = INITIAL_COUNT;

  #sampledAt: Milliseconds = 0;

  #slowSince: Milliseconds | undefined;

  /** Time that the server usually takes, relative to the mean of all servers. */
  get usual(): number {
    return this.#usual;
  }

  /** Records a measured time and the mean of all servers for the same. */
  note(elapsedMs: Milliseconds, meanMs: Milliseconds, now: Milliseconds): void {
    if (meanMs <= 0) return;
    const sample = Math.min(elapsedMs / meanMs, MAX_RATIO * this.#usual);
    const sinceMs = Math.max(0, now - this.#sampledAt);
    const previous = this.#recentAt(now);
    // Samples arrive in groups; each counts for a share, one after a pause for more.
    const weight = Math.max(0.1, 1 - 0.5 ** (sinceMs / RECENT_HALF_LIFE_MS));
    this.#recent = previous + (sample - previous) * weight;
    this.#sampledAt = now;
    const ratio = this.#recent / this.#usual;
    if (ratio < SLOW_RATIO) this.#slowSince = undefined;
    else this.#slowSince ??= now;
    const isLasting = this.#slowSince !== undefined && now - this.#slowSince >= MAX_FAULTY_MS;
    const isKnown = this.#count >= MIN_COUNT;
    if (isKnown && this.#slowSince !== undefined && !isLasting) return;
    this.#count += 1;
    this.#usual += (sample - this.#usual) * Math.max(USUAL_WEIGHT, 1 / this.#count);
  }

  /** Time that the server takes now, relative to its usual time; 1 if it is not slower. */
  ratio(now: Milliseconds): number {
    return Math.max(1, this.#recentAt(now) / this.#usual);
  }

  /** Returns whether the server is slower than usual, and how. */
  state(now: Milliseconds): SpeedState {
    const ratio = this.ratio(now);
    const isKnown = this.#count >= MIN_COUNT;
    if (!isKnown || this.#slowSince === undefined || ratio < SLOW_RATIO) return 'usual';
    if (ratio >= FAULTY_RATIO || now - this.#slowSince >= MAX_SLOW_MS) return 'faulty';
    return 'slow';
  }

  /**
   * Returns the time that the slowness adds to work which usually takes `workMs`: a transient one ends
   * soon, a fault goes on.
   */
  addedMs(workMs: Milliseconds, now: Milliseconds): Milliseconds {
    const state = this.state(now);
    if (state === 'usual') return 0;
    const ratio = this.ratio(now);
    const wholeMs = workMs * (ratio - 1);
    if (state === 'faulty') return wholeMs;
    const leftMs = Math.max(0, USUAL_SLOW_MS - (now - this.#slowSince!));
    return Math.min(wholeMs, leftMs * (1 - 1 / ratio));
  }

  #recentAt(now: Milliseconds): number {
    const idleMs = Math.max(0, now - this.#sampledAt);
    const weight = 0.5 ** (idleMs / IDLE_HALF_LIFE_MS);
    return this.#usual + (this.#recent - this.#usual) * weight;
  }
}
