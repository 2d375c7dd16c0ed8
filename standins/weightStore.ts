import type { Clock, Milliseconds } from '../core/clock/mod.ts';

/** How a stand-in weight store behaves. */
export type WeightStoreOptions = {
  readonly clock: Clock;
  /** Loads that may start each second. */
  readonly loadsPerSecond: number;
  /** Loads served at full speed at once; more share the speed. */
  readonly loadsAtOnce: number;
  /** Time of one load at full speed. @default 250 */
  readonly loadMs?: Milliseconds;
};

/** A rate-limited store of adapter weights. */
export class WeightStore {
  readonly #options: WeightStoreOptions;

  #nextStart: Milliseconds = 0;

  #loading = 0;

  #served = 0;

  #failures = 0;

  #failurePeriod = 0;

  #ended = 0;

  #slowdown = 1;

  constructor(options: WeightStoreOptions) {
    this.#options = options;
  }

  /** Loads that ended well. */
  get served(): number {
    return this.#served;
  }

  /** Lets the next `count` loads fail. */
  failNext(count: number): void {
    this.#failures = count;
  }

  /** Lets every load whose number is a multiple of `period` fail; 0 lets none fail. */
  failEvery(period: number): void {
    this.#failurePeriod = period;
  }

  /** Multiplies the time of each load. */
  slowDown(factor: number): void {
    this.#slowdown = factor;
  }

  /**
   * Reads one adapter's weights.
   *
   * @param slowness Factor by which the reader itself is slower than full speed.
   * @returns Whether the weights came.
   */
  async load(slowness = 1): Promise<boolean> {
    const { clock, loadsPerSecond } = this.#options;
    const startsAt = Math.max(clock.now(), this.#nextStart);
    this.#nextStart = startsAt + (1000 / loadsPerSecond) * this.#slowdown;
    await this.#wait(startsAt - clock.now());
    this.#loading += 1;
    await this.#wait(this.#duration() * slowness);
    this.#loading -= 1;
    this.#ended += 1;
    if (this.#failurePeriod > 0 && this.#ended % this.#failurePeriod === 0) return false;
    if (this.#failures > 0) {
      this.#failures -= 1;
      return false;
    }
    this.#served += 1;
    return true;
  }

  #duration(): Milliseconds {
    const { loadMs = 250, loadsAtOnce } = this.#options;
    return loadMs * this.#slowdown * Math.max(1, this.#loading / loadsAtOnce);
  }

  #wait(time: Milliseconds): Promise<void> {
    if (time <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#options.clock.schedule(time, resolve);
    });
  }
}
