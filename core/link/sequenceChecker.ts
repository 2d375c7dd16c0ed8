/** How a frame's sequence number relates to the one expected next. */
export type SequenceVerdict = 'accept' | 'duplicate' | 'gap';

/** Checks that the frames of one connection arrive in order, without gaps or duplicates. */
export class SequenceChecker {
  #next = 0;

  /** Checks the next received sequence number; expects the following one after an `accept`. */
  check(sequence: number): SequenceVerdict {
    if (sequence < this.#next) return 'duplicate';
    if (sequence > this.#next) return 'gap';
    this.#next += 1;
    return 'accept';
  }
}
