import { Heap } from '../collections/mod.ts';
import type { Cancellation, Clock, Milliseconds } from './clock.ts';

/** A scheduled call. */
type Timer = {
  readonly due: Milliseconds;
  /** Sequence number; orders calls due at the same time. */
  readonly order: number;
  readonly run: () => void;
};

function isEarlier(a: Timer, b: Timer): boolean {
  return a.due < b.due || (a.due === b.due && a.order < b.order);
}

/** A clock whose time advances only when its owner advances it. */
export type VirtualClock = Clock & {
  /** Returns the due time of the earliest pending call, or `undefined` if none is pending. */
  readonly nextDue: () => Milliseconds | undefined;
  /** Advances time to the earliest pending call and runs it. Returns whether there was one. */
  readonly runNext: () => boolean;
  /** Advances time to `time` without running any call. */
  readonly advanceTo: (time: Milliseconds) => void;
};

/**
 * Creates a virtual clock that starts at time 0.
 *
 * Calls due at the same time run in the order in which they were scheduled.
 *
 * @returns A clock for tests, scenarios and benchmarks.
 * @example
 * ```ts
 * const clock = createVirtualClock();
 * clock.schedule(10, () => console.log(clock.now())); // prints 10
 * clock.runNext();
 * ```
 */
export function createVirtualClock(): VirtualClock {
  const heap = new Heap<Timer>(isEarlier);
  const cancelled = new Set<number>();
  let time: Milliseconds = 0;
  let scheduled = 0;

  function dropCancelled(): void {
    let first = heap.peek();
    while (first !== undefined && cancelled.delete(first.order)) {
      heap.pop();
      first = heap.peek();
    }
  }

  function schedule(delay: Milliseconds, run: () => void): Cancellation {
    const order = scheduled;
    scheduled += 1;
    let pending = true;
    heap.push({
      due: time + Math.max(0, delay),
      order,
      run: () => {
        pending = false;
        run();
      },
    });
    return () => {
      if (pending) cancelled.add(order);
      pending = false;
    };
  }

  function runNext(): boolean {
    dropCancelled();
    const timer = heap.pop();
    if (timer === undefined) return false;
    time = Math.max(time, timer.due);
    timer.run();
    return true;
  }

  return {
    now: () => time,
    schedule,
    nextDue: () => {
      dropCancelled();
      return heap.peek()?.due;
    },
    runNext,
    advanceTo: (target) => {
      time = Math.max(time, target);
    },
  };
}
