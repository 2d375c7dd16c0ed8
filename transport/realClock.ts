import type { Clock } from '../core/clock/mod.ts';

/** The monotonic clock of this process. */
export const realClock: Clock = {
  now: () => performance.now(),
  schedule: (delay, run) => {
    const timer = setTimeout(run, delay);
    return () => clearTimeout(timer);
  },
};
