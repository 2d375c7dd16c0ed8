import type { Milliseconds } from '../clock/mod.ts';
import type { Trait } from './traits.ts';

/** The end of a server, with the traits of the requests that may have caused it. */
export type EndRecord = {
  /** Unique id of this report. */
  readonly id: string;
  readonly server: string;
  readonly service: string;
  readonly ageMs: Milliseconds;
  readonly traits: readonly Trait[];
};

/** A trait that is cleared of all earlier ends by a successful response. */
export type ClearanceRecord = { readonly trait: Trait; readonly ageMs: Milliseconds };

/** A trait whose requests are not sent to servers. */
export type VerdictRecord = {
  readonly trait: Trait;
  /** Ends of servers that the verdict rests on. */
  readonly endCount: number;
  /** Requests that were sent since the verdict to test it. */
  readonly trialCount: number;
  /** Whether other traits explain the ends as well. */
  readonly isDoubtful: boolean;
  /** Time since the latest end or trial. */
  readonly ageMs: Milliseconds;
};

/** What one process passes on to others; times are ages, since their clocks differ. */
export type QuarantineUpdate = {
  readonly ends: readonly EndRecord[];
  readonly clearances: readonly ClearanceRecord[];
  readonly verdicts: readonly VerdictRecord[];
};
