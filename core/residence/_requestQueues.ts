import type { Milliseconds } from '../clock/mod.ts';
import { Heap } from '../collections/mod.ts';
import type { AdapterVersion } from '../identity/mod.ts';
import type { RequestName, ResidenceRequest } from './residence.ts';

/** A request that waits. */
export type Waiting = ResidenceRequest & {
  readonly since: Milliseconds;
  readonly wasResident: boolean;
  isGone: boolean;
};

type Queue = {
  readonly adapterVersion: AdapterVersion;
  readonly items: Waiting[];
  head: number;
  length: number;
  /** Place among queues that want a load; the lowest goes first. */
  rank: number;
};

type Ranked = { readonly queue: Queue; readonly rank: number };

/** Time by which each further waiting request brings a load forward. */
const FORWARD_PER_REQUEST_MS: Milliseconds = 100;

/** Requests beyond which a load is not brought forward further. */
const FORWARD_REQUESTS = 10;

/** Waiting requests by adapter version; no operation looks at all of them. */
export class RequestQueues {
  readonly #queues = new Map<AdapterVersion, Queue>();

  readonly #byName = new Map<RequestName, Waiting>();

  readonly #deadlines = new Heap<Waiting>((a, b) => a.deadline < b.deadline);

  readonly #ranks = new Heap<Ranked>((a, b) => a.rank < b.rank);

  /** Requests that wait. */
  get size(): number {
    return this.#byName.size;
  }

  /** Adapter versions that requests wait for. */
  get adapterVersions(): IterableIterator<AdapterVersion> {
    return this.#queues.keys();
  }

  /** Adapter versions that requests wait for, counted. */
  get adapterVersionCount(): number {
    return this.#queues.size;
  }

  /** Tells whether requests wait for an adapter version. */
  has(adapterVersion: AdapterVersion): boolean {
    return this.#queues.has(adapterVersion);
  }

  /** Adds a request. */
  push(waiting: Waiting): void {
    const { adapterVersion } = waiting;
    let queue = this.#queues.get(adapterVersion);
    if (queue === undefined) {
      queue = { adapterVersion, items: [], head: 0, length: 0, rank: Infinity };
      this.#queues.set(adapterVersion, queue);
    }
    queue.items.push(waiting);
    queue.length += 1;
    this.#byName.set(waiting.name, waiting);
    this.#deadlines.push(waiting);
    this.#rank(queue);
  }

  /** Removes a request; returns whether it was waiting. */
  remove(name: RequestName): boolean {
    const waiting = this.#byName.get(name);
    if (waiting === undefined) return false;
    this.#drop(waiting);
    return true;
  }

  /** Returns the oldest request for an adapter version. */
  peek(adapterVersion: AdapterVersion): Waiting | undefined {
    const queue = this.#queues.get(adapterVersion);
    if (queue === undefined) return undefined;
    while (queue.items[queue.head]?.isGone === true) queue.head += 1;
    return queue.items[queue.head];
  }

  /** Removes and returns the oldest request for an adapter version. */
  shift(adapterVersion: AdapterVersion): Waiting | undefined {
    const waiting = this.peek(adapterVersion);
    if (waiting !== undefined) this.#drop(waiting);
    return waiting;
  }

  /** Removes and returns one request whose deadline has passed. */
  shiftLate(now: Milliseconds): Waiting | undefined {
    for (;;) {
      const first = this.#deadlines.peek();
      if (first === undefined || (!first.isGone && first.deadline > now)) return undefined;
      this.#deadlines.pop();
      if (!first.isGone) {
        this.#drop(first);
        return first;
      }
    }
  }

  /**
   * Returns the adapter version whose load goes first, by age and waiting requests.
   *
   * @param isHeld Tells which adapter versions need no load; each is asked for again by `rerank`.
   */
  mostWanted(isHeld: (adapterVersion: AdapterVersion) => boolean): AdapterVersion | undefined {
    for (;;) {
      const first = this.#ranks.peek();
      if (first === undefined) return undefined;
      const { queue, rank } = first;
      const isStale = queue.length === 0 || queue.rank !== rank;
      if (!isStale && !isHeld(queue.adapterVersion)) return queue.adapterVersion;
      this.#ranks.pop();
    }
  }

  /** Puts an adapter version that is no longer held among those that want a load. */
  rerank(adapterVersion: AdapterVersion): void {
    const queue = this.#queues.get(adapterVersion);
    if (queue === undefined) return;
    queue.rank = Infinity;
    this.#rank(queue);
  }

  #rank(queue: Queue): void {
    const first = this.peek(queue.adapterVersion);
    if (first === undefined) return;
    const forward = Math.min(queue.length - 1, FORWARD_REQUESTS) * FORWARD_PER_REQUEST_MS;
    const rank = first.since - forward;
    if (rank === queue.rank) return;
    queue.rank = rank;
    this.#ranks.push({ queue, rank });
  }

  #drop(waiting: Waiting): void {
    waiting.isGone = true;
    this.#byName.delete(waiting.name);
    const queue = this.#queues.get(waiting.adapterVersion)!;
    queue.length -= 1;
    if (queue.length === 0) this.#queues.delete(waiting.adapterVersion);
  }
}
