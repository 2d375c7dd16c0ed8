import type { Clock, Milliseconds } from '../core/clock/mod.ts';

/** Options of a stand-in weight store. */
export type WeightStoreOptions = {
  readonly clock: Clock;
  /** Maximum number of loads started per second. */
  readonly loadsPerSecond: number;
  /** Concurrent loads served at full speed; more than that share the bandwidth. */
  readonly loadsAtOnce: number;
  /** Duration of one load at full speed. @default 250 */
  readonly loadMs?: Milliseconds;
};

/** Simulates a rate-limited store of adapter weights. */
export class WeightStore {
  readonly #options: WeightStoreOptions;

  #nextStartAt: Milliseconds = 0;

  #activeLoads = 0;

  #successCount = 0;

  #failuresLeft = 0;

  #failurePeriod = 0;

  #endedCount = 0;

  #slowdown = 1;

  constructor(options: WeightStoreOptions) {
    this.#options = options;
  }

  /** Number of successful loads. */
  get served(): number {
    return this.#successCount;
  }

  /** Makes the next `count` loads fail. */
  failNext(count: number): void {
    this.#failuresLeft = count;
  }

  /** Makes every `period`-th load fail; 0 ends that. */
  failEvery(period: number): void {
    this.#failurePeriod = period;
  }

  /** Multiplies load durations and the interval between load starts by `factor`. */
  slowDown(factor: number): void {
    this.#slowdown = factor;
  }

  /**
   * Loads the weights of one adapter.
   *
   * @param readerSlowdown Factor by which the reader itself slows the load.
   * @returns Whether the load succeeded.
   */
  async load(readerSlowdown = 1): Promise<boolean> {
    const { clock, loadsPerSecond } = this.#options;
    const startsAt = Math.max(clock.now(), this.#nextStartAt);
    this.#nextStartAt = startsAt + (1000 / loadsPerSecond) * this.#slowdown;
    await this.#wait(startsAt - clock.now());
    this.#activeLoads += 1;
    await this.#wait(this.#loadDuration() * readerSlowdown);
    this.#activeLoads -= 1;
    this.#endedCount += 1;
    if (this.#failurePeriod > 0 && this.#endedCount % this.#failurePeriod === 0) return false;
    if (this.#failuresLeft > 0) {
      this.#failuresLeft -= 1;
      return false;
    }
    this.#successCount += 1;
    return true;
  }

  #loadDuration(): Milliseconds {
    const { loadMs = 250, loadsAtOnce } = this.#options;
    return loadMs * this.#slowdown * Math.max(1, this.#activeLoads / loadsAtOnce);
  }

  #wait(durationMs: Milliseconds): Promise<void> {
    if (durationMs <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#options.clock.schedule(durationMs, resolve);
    });
  }
}
