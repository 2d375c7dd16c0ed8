import type { Milliseconds } from '../clock/mod.ts';
import { Heap } from '../collections/mod.ts';
import type { AdapterVersion } from '../identity/mod.ts';
import type { RequestName, SchedulerRequest } from './engineScheduler.ts';

/** A queued request. */
export type WaitingRequest = SchedulerRequest & {
  /** Arrival time. */
  readonly arrivedAt: Milliseconds;
  /** Whether the adapter version was loaded on arrival. */
  readonly wasResident: boolean;
  isRemoved: boolean;
};

/** The requests for one adapter version, oldest first. */
type AdapterQueue = {
  readonly adapterVersion: AdapterVersion;
  /** All requests, including removed ones. */
  readonly items: WaitingRequest[];
  /** Index in `items` before which all requests are removed. */
  head: number;
  /** Number of requests that are not removed. */
  length: number;
  /** Arrival time of the oldest request minus the advance; the lowest rank is loaded first. */
  rank: number;
};

/** An entry of the load order; stale once the rank of the queue has changed. */
type RankedQueue = { readonly queue: AdapterQueue; readonly rank: number };

/** Advance of a queue in the load order for each request after the first. */
const ADVANCE_PER_REQUEST_MS: Milliseconds = 100;

/** Maximum number of requests that advance a queue. */
const MAX_ADVANCING_REQUESTS = 10;

/** Queues of waiting requests, one for each adapter version; no operation scans all requests. */
export class RequestQueues {
  readonly #queues = new Map<AdapterVersion, AdapterQueue>();

  readonly #byName = new Map<RequestName, WaitingRequest>();

  readonly #deadlines = new Heap<WaitingRequest>((a, b) => a.deadline < b.deadline);

  readonly #ranks = new Heap<RankedQueue>((a, b) => a.rank < b.rank);

  /** Number of waiting requests. */
  get size(): number {
    return this.#byName.size;
  }

  /** Adapter versions that requests wait for. */
  get adapterVersions(): IterableIterator<AdapterVersion> {
    return this.#queues.keys();
  }

  /** Number of adapter versions that requests wait for. */
  get adapterVersionCount(): number {
    return this.#queues.size;
  }

  /** Returns whether requests wait for an adapter version. */
  has(adapterVersion: AdapterVersion): boolean {
    return this.#queues.has(adapterVersion);
  }

  /** Adds a request. */
  push(waiting: WaitingRequest): void {
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
    this.#updateRank(queue);
  }

  /** Removes a request; returns whether it was waiting. */
  remove(name: RequestName): boolean {
    const waiting = this.#byName.get(name);
    if (waiting === undefined) return false;
    this.#removeWaiting(waiting);
    return true;
  }

  /** Returns the oldest request for an adapter version. */
  peek(adapterVersion: AdapterVersion): WaitingRequest | undefined {
    const queue = this.#queues.get(adapterVersion);
    if (queue === undefined) return undefined;
    while (queue.items[queue.head]?.isRemoved === true) queue.head += 1;
    return queue.items[queue.head];
  }

  /** Removes and returns the oldest request for an adapter version. */
  shift(adapterVersion: AdapterVersion): WaitingRequest | undefined {
    const waiting = this.peek(adapterVersion);
    if (waiting !== undefined) this.#removeWaiting(waiting);
    return waiting;
  }

  /** Removes and returns a request whose deadline has passed, if there is one. */
  shiftExpired(now: Milliseconds): WaitingRequest | undefined {
    for (;;) {
      const first = this.#deadlines.peek();
      if (first === undefined || (!first.isRemoved && first.deadline > now)) return undefined;
      this.#deadlines.pop();
      if (!first.isRemoved) {
        this.#removeWaiting(first);
        return first;
      }
    }
  }

  /**
   * Returns the adapter version to load next, by age of the oldest request and queue length.
   *
   * @param hasSlot Returns whether an adapter version occupies a slot, which takes its queue out of
   *   the load order until `rerank`.
   */
  nextToLoad(hasSlot: (adapterVersion: AdapterVersion) => boolean): AdapterVersion | undefined {
    for (;;) {
      const first = this.#ranks.peek();
      if (first === undefined) return undefined;
      const { queue, rank } = first;
      const isStale = queue.length === 0 || queue.rank !== rank;
      if (!isStale && !hasSlot(queue.adapterVersion)) return queue.adapterVersion;
      this.#ranks.pop();
    }
  }

  /** Returns the queue of an adapter version to the load order once it occupies no slot. */
  rerank(adapterVersion: AdapterVersion): void {
    const queue = this.#queues.get(adapterVersion);
    if (queue === undefined) return;
    queue.rank = Infinity;
    this.#updateRank(queue);
  }

  #updateRank(queue: AdapterQueue): void {
    const first = this.peek(queue.adapterVersion);
    if (first === undefined) return;
    const advanceMs = Math.min(queue.length - 1, MAX_ADVANCING_REQUESTS) * ADVANCE_PER_REQUEST_MS;
    const rank = first.arrivedAt - advanceMs;
    if (rank === queue.rank) return;
    queue.rank = rank;
    this.#ranks.push({ queue, rank });
  }

  #removeWaiting(waiting: WaitingRequest): void {
    waiting.isRemoved = true;
    this.#byName.delete(waiting.name);
    const queue = this.#queues.get(waiting.adapterVersion)!;
    queue.length -= 1;
    if (queue.length === 0) this.#queues.delete(waiting.adapterVersion);
  }
}
