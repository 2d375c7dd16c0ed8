import type { Clock, Milliseconds } from '../core/clock/mod.ts';
import type { Configuration, ConfigurationValue } from '../tasks/ports/mod.ts';

type Watcher = () => void;

const WATCH_MS: Milliseconds = 20_000;

/** A small configuration service that processes read and watch and only operators write. */
export class ConfigurationModel implements Configuration {
  readonly #clock: Clock;

  readonly #values = new Map<string, ConfigurationValue>();

  readonly #watchers = new Map<string, Set<Watcher>>();

  #revision = 0;

  #reads = 0;

  #down = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Calls since the start, a waiting watch counted as one. */
  get reads(): number {
    return this.#reads;
  }

  /** Stops or starts answering. */
  setDown(down: boolean): void {
    this.#down = down;
  }

  /** Puts a value, as operators do with the platform's own tool. */
  put(name: string, text: string): void {
    this.#revision += 1;
    const value = { text, revision: String(this.#revision) };
    this.#values.set(name, value);
    const watchers = this.#watchers.get(name) ?? new Set();
    this.#watchers.delete(name);
    watchers.forEach((watcher) => watcher());
  }

  /** Ends every waiting watch. */
  close(): void {
    this.#watchers.forEach((watchers) => watchers.forEach((watcher) => watcher()));
  }

  read(name: string): Promise<ConfigurationValue | undefined> {
    this.#reads += 1;
    if (this.#down) return Promise.reject(new Error('the configuration service is down'));
    return Promise.resolve(this.#values.get(name));
  }

  watch(name: string, revision: string): Promise<ConfigurationValue | undefined> {
    this.#reads += 1;
    if (this.#down) return Promise.reject(new Error('the configuration service is down'));
    const value = this.#values.get(name);
    if (value !== undefined && value.revision !== revision) return Promise.resolve(value);
    return this.#wait(name);
  }

  async #wait(name: string): Promise<ConfigurationValue | undefined> {
    const watchers = this.#watchers.get(name) ?? new Set();
    this.#watchers.set(name, watchers);
    let watch: Watcher = () => undefined;
    const change = new Promise<void>((resolve) => {
      watch = () => resolve();
    });
    watchers.add(watch);
    const cancel = this.#clock.schedule(WATCH_MS, watch);
    await change;
    cancel();
    watchers.delete(watch);
    return this.#values.get(name);
  }
}
