import { createVirtualClock } from '../../../core/clock/mod.ts';
import type { Clock, Milliseconds, VirtualClock } from '../../../core/clock/mod.ts';
import type { Accept, Dial } from '../../ports/mod.ts';

/**
 * A network of processes on a virtual clock; those in `partitioned` are partitioned from all others.
 * Processes can be killed and paused; a paused one gets everything when it goes on.
 */
export class FakeNetwork {
  readonly clock: VirtualClock = createVirtualClock();

  readonly partitioned = new Set<string>();

  /** Time that messages wait at processes until they are handled, as with long turns of an event loop. @default 0 */
  readonly handlingDelays = new Map<string, Milliseconds>();

  /** Bytes that the link of a process carries each way in a millisecond. @default without a bound */
  linkBytesPerMs = Infinity;

  /** Names the group of a process while groups are partitioned from each other. */
  groupOf: ((address: string) => string) | undefined;

  readonly #accepts = new Map<string, Accept>();

  readonly #killed = new Set<string>();

  /** What paused processes will run when they go on. */
  readonly #paused = new Map<string, (() => void)[]>();

  /** When the links of processes are free again, by direction and address, parted by a space. */
  readonly #linkFreeAt = new Map<string, Milliseconds>();

  /** Bytes sent so far, by sender and receiver, parted by a space. */
  readonly sentBytes = new Map<string, number>();

  /** Accepts connections at an address. */
  listen(address: string, accept: Accept): void {
    this.#accepts.set(address, accept);
  }

  /** Returns the `Dial` of the process at an address. */
  dialFrom(own: string): Dial {
    return (address, events) => {
      const accept = this.#accepts.get(address);
      const deliver = (to: string, run: () => void, bytes = 0): void => {
        const from = to === own ? address : own;
        if (this.isStopped(from)) return;
        const pair = `${from} ${to}`;
        this.sentBytes.set(pair, (this.sentBytes.get(pair) ?? 0) + bytes);
        const transferMs = this.transfer(`out ${from}`, bytes);
        this.clock.schedule(1 + transferMs, () => {
          const receiveMs = this.transfer(`in ${to}`, bytes);
          const deliverRest = (): void => {
            if (!this.#isApart(own, address)) this.whenRunning(to, run);
          };
          const delayMs = receiveMs + (this.handlingDelays.get(to) ?? 0);
          if (delayMs === 0) deliverRest();
          else this.clock.schedule(delayMs, deliverRest);
        });
      };
      if (accept === undefined || this.isStopped(address)) {
        this.clock.schedule(1, () => this.whenRunning(own, () => events.closed()));
        return { send: () => undefined, close: () => undefined };
      }
      const remote = accept({
        send: (bytes) => deliver(own, () => events.received(bytes), bytes.length),
        close: () => undefined,
      });
      // The process at the address takes part in opening the connection.
      deliver(address, () => deliver(own, () => events.opened()));
      return {
        send: (bytes) => deliver(address, () => remote.received(bytes), bytes.length),
        close: () => undefined,
      };
    };
  }

  /**
   * Puts bytes on one direction of a link, behind those that are on it. Returns the time until they are through.
   *
   * @param link Direction and address, parted by a space.
   */
  transfer(link: string, bytes: number): Milliseconds {
    const now = this.clock.now();
    const freeAt = Math.max(now, this.#linkFreeAt.get(link) ?? now) + bytes / this.linkBytesPerMs;
    this.#linkFreeAt.set(link, freeAt);
    return freeAt - now;
  }

  /**
   * Returns the monotonic clock of the process at an address; its calls wait while the process is paused.
   *
   * @param offset What it shows at the start.
   */
  clockOf(address: string, offset: Milliseconds = 0): Clock {
    return {
      now: () => this.clock.now() + offset,
      schedule: (delay, run) => {
        let isCancelled = false;
        const cancel = this.clock.schedule(delay, () =>
          this.whenRunning(address, () => {
            if (!isCancelled) run();
          }),
        );
        return () => {
          isCancelled = true;
          cancel();
        };
      },
    };
  }

  /** Runs a call in the process at an address: when it is not paused, and never once it is killed. */
  whenRunning(address: string, run: () => void): void {
    if (this.#killed.has(address)) return;
    const paused = this.#paused.get(address);
    if (paused === undefined) run();
    else paused.push(run);
  }

  /** Ends the process at an address without notice. */
  kill(address: string): void {
    this.#killed.add(address);
  }

  /** Whether the process at an address was killed. */
  isStopped(address: string): boolean {
    return this.#killed.has(address);
  }

  /** Pauses the process at an address. */
  pause(address: string): void {
    this.#paused.set(address, []);
  }

  /** Lets a paused process go on. */
  continue(address: string): void {
    const calls = this.#paused.get(address) ?? [];
    this.#paused.delete(address);
    calls.forEach((run) => this.whenRunning(address, run));
  }

  /** Whether the process at an address runs. */
  isRunning(address: string): boolean {
    return !this.#killed.has(address) && !this.#paused.has(address);
  }

  /** Advances time and runs all calls that are due. */
  run(ms: Milliseconds): void {
    const end = this.clock.now() + ms;
    while ((this.clock.nextDue() ?? Infinity) <= end) this.clock.runNext();
    this.clock.advanceTo(end);
  }

  #isApart(a: string, b: string): boolean {
    if (this.partitioned.has(a) || this.partitioned.has(b)) return true;
    return this.groupOf !== undefined && this.groupOf(a) !== this.groupOf(b);
  }
}
