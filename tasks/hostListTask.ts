import type { Cancellation, Clock, Milliseconds } from '../core/clock/mod.ts';
import type { ListedHost } from '../core/membership/mod.ts';
import type { Log } from '../log/mod.ts';
import type { HostList } from './ports/mod.ts';

/** How to build a `HostListTask`. */
export type HostListTaskOptions = {
  readonly clock: Clock;
  readonly hostList: HostList;
  readonly log: Log;
  /** Told of each list read. */
  readonly onHosts: (hosts: readonly ListedHost[]) => void;
  /** Time between readings. @default 1000 */
  readonly readMs?: Milliseconds;
};

/** Reads the platform's list of hosts again and again. */
export class HostListTask {
  readonly #options: HostListTaskOptions;

  #cancel: Cancellation | undefined;

  #stopped = false;

  constructor(options: HostListTaskOptions) {
    this.#options = options;
  }

  /** Starts to read. */
  start(): void {
    this.#read().catch(() => undefined);
  }

  /** Stops reading. */
  stop(): void {
    this.#stopped = true;
    this.#cancel?.();
  }

  async #read(): Promise<void> {
    const { clock, hostList, log, onHosts, readMs = 1000 } = this.#options;
    try {
      const hosts = await hostList.read();
      if (!this.#stopped) onHosts(hosts);
    } catch (error) {
      log('hostListDown', { detail: String(error) });
    }
    if (this.#stopped) return;
    this.#cancel = clock.schedule(readMs, () => this.start());
  }
}
