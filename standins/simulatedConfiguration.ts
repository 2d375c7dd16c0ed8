import type { Clock, Milliseconds } from '../core/clock/mod.ts';
import type { Configuration, ConfigurationValue } from '../tasks/ports/mod.ts';

type WatchCallback = () => void;

const WATCH_TIMEOUT_MS: Milliseconds = 20_000;

/** An in-memory configuration service: processes read and watch values, operators write them. */
export class SimulatedConfiguration implements Configuration {
  readonly #clock: Clock;

  readonly #values = new Map<string, ConfigurationValue>();

  readonly #watchers = new Map<string, Set<WatchCallback>>();

  #revision = 0;

  #callCount = 0;

  #isDown = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of read and watch calls so far; a pending watch counts as one. */
  get callCount(): number {
    return this.#callCount;
  }

  /** Makes all reads and new watches fail, or ends that. */
  setDown(down: boolean): void {
    this.#isDown = down;
  }

  /** Writes a value, as operators do with the platform's own tool, and ends the watches on it. */
  put(name: string, text: string): void {
    this.#revision += 1;
    const value = { text, revision: String(this.#revision) };
    this.#values.set(name, value);
    const watchers = this.#watchers.get(name) ?? new Set();
    this.#watchers.delete(name);
    watchers.forEach((watcher) => watcher());
  }

  /** Ends all pending watches. */
  close(): void {
    this.#watchers.forEach((watchers) => watchers.forEach((watcher) => watcher()));
  }

  read(name: string): Promise<ConfigurationValue | undefined> {
    this.#callCount += 1;
    if (this.#isDown) return Promise.reject(new Error('the configuration service is down'));
    return Promise.resolve(this.#values.get(name));
  }

  watch(name: string, revision: string): Promise<ConfigurationValue | undefined> {
    this.#callCount += 1;
    if (this.#isDown) return Promise.reject(new Error('the configuration service is down'));
    const value = this.#values.get(name);
    if (value !== undefined && value.revision !== revision) return Promise.resolve(value);
    return this.#waitForChange(name);
  }

  async #waitForChange(name: string): Promise<ConfigurationValue | undefined> {
    const watchers = this.#watchers.get(name) ?? new Set();
    this.#watchers.set(name, watchers);
    let notify: WatchCallback = () => undefined;
    const changed = new Promise<void>((resolve) => {
      notify = () => resolve();
    });
    watchers.add(notify);
    const cancel = this.#clock.schedule(WATCH_TIMEOUT_MS, notify);
    await changed;
    cancel();
    watchers.delete(notify);
    return this.#values.get(name);
  }
}
