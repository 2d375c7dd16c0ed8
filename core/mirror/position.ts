/** Number of revisions of one era. */
const REVISIONS_PER_ERA = 2 ** 40;

/** Largest era of a position that is still a safe integer. */
export const MAX_ERA = 4095;

/**
 * Returns a position in the history of the store: one number that orders first by era, then by revision.
 *
 * The era of the store rises each time it came back from an older copy; it then gives out revisions again,
 * but never positions. In era 0, and without eras, a position is the revision.
 */
export function positionOf(era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision;
}

/** Returns the era of a position. */
export function eraOf(position: number): number {
  return Math.floor(position / REVISIONS_PER_ERA);
}
