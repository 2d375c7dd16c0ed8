/** What determines the retry burst limit of one entry. */
export type RetryBurstLimitOptions = {
  /** Retries beyond the share of requests that a service accepts from all entries in one window. */
  readonly slack: number;
  /** The most entries that this one has known of, itself included; `undefined` if it knows none yet. */
  readonly entries: number | undefined;
};

/** Share of the slack to use, since services count windows and requests slightly differently. */
const USED_SLACK = 0.5;

/** Number of entries to assume before any other is known: that of a large deployment. */
const ASSUMED_ENTRIES = 50;

/** Least burst limit, in retries; with less than one, no retry could ever be sent. */
const MIN_BURST = 1;

/**
 * Returns the retry burst limit of one entry, so that the bursts of all entries stay within the slack.
 *
 * The number of entries must never decrease while a process runs, so that an entry that is cut off from
 * the others does not send more than before. With more entries than half of the slack, the limit stays at
 * one retry.
 */
export function retryBurstLimit({
  slack,
  entries = ASSUMED_ENTRIES,
}: RetryBurstLimitOptions): number {
  return Math.max(MIN_BURST, (slack * USED_SLACK) / Math.max(1, entries));
}
