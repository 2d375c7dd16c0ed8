import { createVirtualClock } from '../../../core/clock/mod.ts';
import type { Milliseconds, VirtualClock } from '../../../core/clock/mod.ts';
import type { Accept, Dial } from '../../ports/mod.ts';

/** A network of processes on a virtual clock; those in `partitioned` are partitioned from all others. */
export class FakeNetwork {
  readonly clock: VirtualClock = createVirtualClock();

  readonly partitioned = new Set<string>();

  readonly #accepts = new Map<string, Accept>();

  /** Accepts connections at an address. */
  listen(address: string, accept: Accept): void {
    this.#accepts.set(address, accept);
  }

  /** Returns the `Dial` of the process at an address. */
  dialFrom(own: string): Dial {
    return (address, events) => {
      const accept = this.#accepts.get(address);
      const isPartitioned = (): boolean =>
        this.partitioned.has(own) || this.partitioned.has(address);
      const deliver = (run: () => void): void => {
        this.clock.schedule(1, () => {
          if (!isPartitioned()) run();
        });
      };
      if (accept === undefined) {
        this.clock.schedule(1, () => events.closed());
        return { send: () => undefined, close: () => undefined };
      }
      const remote = accept({
        send: (bytes) => deliver(() => events.received(bytes)),
        close: () => undefined,
      });
      deliver(() => events.opened());
      return { send: (bytes) => deliver(() => remote.received(bytes)), close: () => undefined };
    };
  }

  /** Advances time and runs all calls that are due. */
  run(ms: Milliseconds): void {
    const end = this.clock.now() + ms;
    while ((this.clock.nextDue() ?? Infinity) <= end) this.clock.runNext();
    this.clock.advanceTo(end);
  }
}
