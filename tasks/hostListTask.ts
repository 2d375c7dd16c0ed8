import type { Cancellation, Clock, Milliseconds } from '../core/clock/mod.ts';
import type { ListedHost } from '../core/membership/mod.ts';
import type { Log } from '../log/mod.ts';
import type { HostList } from './ports/mod.ts';

/** Options of a `HostListTask`. */
export type HostListTaskOptions = {
  readonly clock: Clock;
  readonly hostList: HostList;
  readonly log: Log;
  /** Called with each list read. */
  readonly onHosts: (hosts: readonly ListedHost[]) => void;
  /** Delay between reads. @default 1000 */
  readonly pollIntervalMs?: Milliseconds;
};

/** Polls the platform's list of hosts. */
export class HostListTask {
  readonly #options: HostListTaskOptions;

  #cancel: Cancellation | undefined;

  #stopped = false;

  constructor(options: HostListTaskOptions) {
    this.#options = options;
  }

  /** Starts polling. */
  start(): void {
    this.#poll().catch(() => undefined);
  }

  /** Stops polling. */
  stop(): void {
    this.#stopped = true;
    this.#cancel?.();
  }

  async #poll(): Promise<void> {
    const { clock, hostList, log, onHosts, pollIntervalMs: readMs = 1000 } = this.#options;
    try {
      const hosts = await hostList.read();
      if (!this.#stopped) onHosts(hosts);
    } catch (error) {
      // A read that the stop cuts off says nothing about the service.
      if (!this.#stopped) log('hostListDown', { detail: String(error) });
    }
    if (this.#stopped) return;
    this.#cancel = clock.schedule(readMs, () => this.start());
  }
}
