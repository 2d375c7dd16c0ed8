/** A length of time or a point on a monotonic scale, in milliseconds. */
export type Milliseconds = number;

/** Withdraws a scheduled call; does nothing once the call has run. */
export type Cancellation = () => void;

/** The only source of time and of delayed calls in this code base. */
export type Clock = {
  /** Returns the time since an arbitrary origin; never goes back. */
  readonly now: () => Milliseconds;
  /** Calls `run` once, `delay` milliseconds from now. */
  readonly schedule: (delay: Milliseconds, run: () => void) => Cancellation;
};
