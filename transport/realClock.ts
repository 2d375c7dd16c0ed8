import type { Clock } from '../core/clock/mod.ts';

/** The monotonic clock of this process. */
export const realClock: Clock = {
  now: () => performance.now(),
  schedule: (delay, run) => {
    const timer = setTimeout(run, delay);
    return () => clearTimeout(timer);
  },
};

/**
 * The monotonic clock of this process, whose scheduled calls run after all sockets that are readable by
 * then have been read.
 *
 * In a turn of the event loop timers run before sockets are read. So after a pause of the process a timer
 * acts on what it knew before the pause, unless it waits for the reads.
 */
export const readFirstClock: Clock = {
  now: realClock.now,
  schedule: (delay, run) => {
    let immediate: NodeJS.Immediate | undefined;
    const cancelTimer = realClock.schedule(delay, () => {
      immediate = setImmediate(run);
    });
    return () => {
      cancelTimer();
      clearImmediate(immediate);
    };
  },
};
