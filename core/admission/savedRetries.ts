/** What decides how many retries one entry may save up. */
export type SavedRetriesTerms = {
  /** Retries beyond the share of requests that a service takes from all entries in one window. */
  readonly slack: number;
  /** The most entries that this one has ever known of, itself counted; `undefined` before any. */
  readonly entries: number | undefined;
};

/** Part of the slack that is used, since windows and requests are counted a little differently. */
const USED_SLACK = 0.5;

/** Entries that are assumed by one that has heard of no other: as many as a large deployment has. */
const ASSUMED_ENTRIES = 50;

/** Without a whole retry saved up, none could ever be sent. */
const LEAST_SAVED = 1;

/**
 * Returns how many retries one entry may save up, so that all entries together stay within the slack.
 *
 * The number of entries must never be lowered while a process runs: one that is cut off from the others
 * then spends no more than before. Beyond as many entries as half of the slack, each can still save one.
 */
export function savedRetries({ slack, entries = ASSUMED_ENTRIES }: SavedRetriesTerms): number {
  return Math.max(LEAST_SAVED, (slack * USED_SLACK) / Math.max(1, entries));
}
