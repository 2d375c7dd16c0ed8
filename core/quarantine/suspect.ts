import type { Milliseconds } from '../clock/mod.ts';
import type { Trait } from './traits.ts';

/** Time within which ends of several servers count as one, since they may have a cause of their own. */
const SIMULTANEOUS_MS: Milliseconds = 100;

/** Time within which several processes report the same end of one server. */
const SAME_END_MS: Milliseconds = 250;

/** The end of a server. */
export type End = { readonly server: string; readonly at: Milliseconds };

/** How many ends of servers a suspect was at. */
export type EndCounts = {
  /** Ends of servers. */
  readonly servers: number;
  /** Ends that are not simultaneous with an earlier one. */
  readonly separate: number;
};

/** Whether two reports are of the same end of one server. */
export function isSameEnd(first: End, second: End): boolean {
  return first.server === second.server && Math.abs(second.at - first.at) <= SAME_END_MS;
}

function areOne(first: End, second: End): boolean {
  return isSameEnd(first, second) || Math.abs(second.at - first.at) <= SIMULTANEOUS_MS;
}

/** A trait of requests that ran on servers as they ended, without a successful response since the first end. */
export class Suspect {
  readonly trait: Trait;

  /** Service of the first end. */
  readonly service: string;

  /** Responses of that service that this process had seen before. */
  readonly responsesBefore: number;

  /** Whether this process has seen one of the ends itself. */
  isLocal = false;

  /** The ends, by the id of their report. */
  readonly #ends = new Map<string, End>();

  constructor(trait: Trait, service: string, responsesBefore: number) {
    this.trait = trait;
    this.service = service;
    this.responsesBefore = responsesBefore;
  }

  /** Counts the ends until a point in time. */
  countEnds(until: Milliseconds): EndCounts {
    const servers: End[] = [];
    const separate: End[] = [];
    [...this.#ends.values()]
      .filter(({ at }) => at <= until)
      .sort((a, b) => a.at - b.at)
      .forEach((end) => {
        if (!servers.some((earlier) => isSameEnd(earlier, end))) servers.push(end);
        if (!separate.some((earlier) => areOne(earlier, end))) separate.push(end);
      });
    return { separate: separate.length, servers: servers.length };
  }

  /** Number of reports of ends. */
  get reportCount(): number {
    return this.#ends.size;
  }

  /** Time of the latest end. */
  get lastEndAt(): Milliseconds {
    return Math.max(...[...this.#ends.values()].map(({ at }) => at));
  }

  /** Adds a report of an end. */
  addEnd(id: string, end: End): void {
    this.#ends.set(id, end);
  }

  /** Removes a report of an end, and tells whether none is left. */
  removeEnd(id: string): boolean {
    this.#ends.delete(id);
    return this.#ends.size === 0;
  }
}
