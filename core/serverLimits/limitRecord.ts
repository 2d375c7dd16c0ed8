import type { Milliseconds } from '../clock/mod.ts';

/** What one process passes on to others about the limit of a server; the time is an age, since clocks differ. */
export type LimitRecord = {
  readonly server: string;
  /** Requests a second that the server takes from all hosts together. */
  readonly perSecond: number;
  /** Whether the server has stopped naming the limit. */
  readonly isEnded: boolean;
  /** Time since the server last named the limit, or since it was first seen not to. */
  readonly ageMs: Milliseconds;
};
