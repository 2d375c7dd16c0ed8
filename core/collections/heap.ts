/** A binary heap, used as a priority queue. No item comes before the first one. */
export class Heap<T> {
  readonly #items: T[] = [];

  readonly #isBefore: (a: T, b: T) => boolean;

  /** @param isBefore Tells whether `a` comes before `b`. */
  constructor(isBefore: (a: T, b: T) => boolean) {
    this.#isBefore = isBefore;
  }

  /** Number of items in the heap. */
  get size(): number {
    return this.#items.length;
  }

  /** Returns the first item without removing it. */
  peek(): T | undefined {
    return this.#items[0];
  }

  /** Adds an item. */
  push(item: T): void {
    this.#items.push(item);
    let index = this.#items.length - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.#swapIfBefore(index, parent)) return;
      index = parent;
    }
  }

  /** Removes and returns the first item. */
  pop(): T | undefined {
    const first = this.#items[0];
    const last = this.#items.pop();
    if (last === undefined || this.#items.length === 0) return first;
    this.#items[0] = last;
    this.#siftDown();
    return first;
  }

  #siftDown(): void {
    let index = 0;
    for (;;) {
      const child = this.#firstChild(index);
      if (child === undefined || !this.#swapIfBefore(child, index)) return;
      index = child;
    }
  }

  #firstChild(index: number): number | undefined {
    const left = 2 * index + 1;
    const right = left + 1;
    if (left >= this.#items.length) return undefined;
    if (right >= this.#items.length) return left;
    return this.#isBefore(this.#items[right]!, this.#items[left]!) ? right : left;
  }

  #swapIfBefore(child: number, parent: number): boolean {
    const lower = this.#items[child]!;
    const upper = this.#items[parent]!;
    if (!this.#isBefore(lower, upper)) return false;
    this.#items[child] = upper;
    this.#items[parent] = lower;
    return true;
  }
}
