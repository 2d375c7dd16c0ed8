import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { HEAD_NAME, parseHead, partName, unpackSet } from '../../core/set/mod.ts';
import type { PublishedSet, SetHead, SetStamp, UnreadableValue } from '../../core/set/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Configuration, ConfigurationValue } from '../ports/mod.ts';

/** How to build a `SetTask`. */
export type SetTaskOptions = {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly log: Log;
  /** Told of each set that comes into force, in rising order of generation. */
  readonly onSet: (set: PublishedSet) => void;
  /** Pause after the configuration service failed. @default 1000 */
  readonly retryMs?: Milliseconds;
};

/** Watches the configuration service and takes each higher generation whose parts all check. */
export class SetTask {
  readonly #options: SetTaskOptions;

  readonly #parts = new Map<string, string>();

  #inForce: SetStamp = { generation: 0, digest: '' };

  #stopped = false;

  constructor(options: SetTaskOptions) {
    this.#options = options;
  }

  /** Starts to watch. */
  start(): void {
    this.#readHead('').catch(() => undefined);
  }

  /** Stops watching. */
  stop(): void {
    this.#stopped = true;
  }

  async #readHead(revision: string): Promise<void> {
    if (this.#stopped) return;
    const { configuration, clock, log, retryMs = 1000 } = this.#options;
    try {
      const value =
        revision === ''
          ? await configuration.read(HEAD_NAME)
          : await configuration.watch(HEAD_NAME, revision);
      const taken = value === undefined || (await this.#takeHead(value));
      const wait = value === undefined || !taken;
      clock.schedule(wait ? retryMs : 0, () => {
        this.#readHead(taken ? (value?.revision ?? '') : '').catch(() => undefined);
      });
    } catch (error) {
      if (this.#stopped) return;
      log('configurationDown', { detail: String(error) });
      clock.schedule(retryMs, () => {
        this.#readHead('').catch(() => undefined);
      });
    }
  }

  /** Takes a head if it is newer; returns false when it should be read again. */
  async #takeHead(value: ConfigurationValue): Promise<boolean> {
    const head = parseHead(value.text);
    if ('kind' in head) return this.#reject(head);
    const { generation, digest } = this.#inForce;
    if (head.generation < generation) return true;
    if (head.generation === generation) {
      if (head.digest !== digest) this.#options.log('setConflict', { generation });
      return true;
    }
    const set = await this.#readSet(head);
    if ('kind' in set) return this.#reject(set);
    if (this.#stopped) return true;
    this.#inForce = { generation: set.generation, digest: set.digest };
    this.#options.log('setTaken', { generation: set.generation, digest: set.digest });
    this.#options.onSet(set);
    return true;
  }

  #reject(value: UnreadableValue): false {
    this.#options.log('setUnreadable', { detail: value.detail });
    return false;
  }

  async #readSet(head: SetHead): Promise<PublishedSet | UnreadableValue> {
    const missing = head.parts.filter((digest) => !this.#parts.has(digest));
    const values = await Promise.all(
      missing.map((digest) => this.#options.configuration.read(partName(digest))),
    );
    values.forEach((value, index) => {
      if (value !== undefined) this.#parts.set(missing[index]!, value.text);
    });
    const set = unpackSet(head, this.#parts);
    const wanted = new Set(head.parts);
    [...this.#parts.keys()]
      .filter((digest) => !wanted.has(digest))
      .forEach((digest) => {
        this.#parts.delete(digest);
      });
    return set;
  }
}
