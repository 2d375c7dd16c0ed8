/** A duration or a point in monotonic time, in milliseconds. */
export type Milliseconds = number;

/** Cancels a scheduled call; does nothing once the call has run. */
export type Cancellation = () => void;

/** The only source of time and timers for code that also runs on a virtual clock. */
export type Clock = {
  /** Returns the monotonic time since an arbitrary origin. */
  readonly now: () => Milliseconds;
  /** Calls `run` once after `delay` milliseconds. */
  readonly schedule: (delay: Milliseconds, run: () => void) => Cancellation;
};
