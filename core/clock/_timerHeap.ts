import type { Milliseconds } from './clock.ts';

/** A call that waits for its time. */
export type Timer = {
  readonly due: Milliseconds;
  readonly order: number;
  readonly run: () => void;
};

function isEarlier(a: Timer, b: Timer): boolean {
  return a.due < b.due || (a.due === b.due && a.order < b.order);
}

/** A binary heap of timers, earliest first; equal times keep their order. */
export class TimerHeap {
  readonly #timers: Timer[] = [];

  /** Returns the earliest timer without removing it. */
  peek(): Timer | undefined {
    return this.#timers[0];
  }

  /** Adds a timer. */
  push(timer: Timer): void {
    this.#timers.push(timer);
    let index = this.#timers.length - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.#swapIfEarlier(index, parent)) return;
      index = parent;
    }
  }

  /** Removes and returns the earliest timer. */
  pop(): Timer | undefined {
    const first = this.#timers[0];
    const last = this.#timers.pop();
    if (last === undefined || this.#timers.length === 0) return first;
    this.#timers[0] = last;
    this.#siftDown();
    return first;
  }

  #siftDown(): void {
    let index = 0;
    for (;;) {
      const child = this.#earlierChild(index);
      if (child === undefined || !this.#swapIfEarlier(child, index)) return;
      index = child;
    }
  }

  #earlierChild(index: number): number | undefined {
    const left = 2 * index + 1;
    const right = left + 1;
    if (left >= this.#timers.length) return undefined;
    if (right >= this.#timers.length) return left;
    return isEarlier(this.#timers[right]!, this.#timers[left]!) ? right : left;
  }

  #swapIfEarlier(child: number, parent: number): boolean {
    const lower = this.#timers[child]!;
    const upper = this.#timers[parent]!;
    if (!isEarlier(lower, upper)) return false;
    this.#timers[child] = upper;
    this.#timers[parent] = lower;
    return true;
  }
}
