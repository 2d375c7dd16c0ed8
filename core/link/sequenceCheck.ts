/** What to do with a numbered frame. */
export type SequenceVerdict = 'accept' | 'repeated' | 'gap';

/** Checks that the frames of one connection arrive once each and in order. */
export class SequenceCheck {
  #next = 0;

  /** Judges the frame with the given number. */
  judge(sequence: number): SequenceVerdict {
    if (sequence < this.#next) return 'repeated';
    if (sequence > this.#next) return 'gap';
    this.#next += 1;
    return 'accept';
  }
}
