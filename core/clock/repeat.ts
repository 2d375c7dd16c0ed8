import type { Cancellation, Clock, Milliseconds } from './clock.ts';

/** Options of `repeat`. */
export type RepeatOptions = {
  readonly clock: Clock;
  /** Returns the time until the next run. */
  readonly intervalMs: () => Milliseconds;
  readonly run: () => void;
  /** Called with what a run throws; the next run follows as usual. */
  readonly onError: (error: unknown) => void;
};

/**
 * Runs a task again and again until it is cancelled, the first time after one interval.
 *
 * An error ends one run, never the task.
 */
export function repeat({ clock, intervalMs, run, onError }: RepeatOptions): Cancellation {
  let isCancelled = false;
  let cancelNext: Cancellation = () => undefined;
  const scheduleNext = (): void => {
    cancelNext = clock.schedule(intervalMs(), () => {
      try {
        run();
      } catch (error) {
        onError(error);
      } finally {
        if (!isCancelled) scheduleNext();
      }
    });
  };
  scheduleNext();
  return () => {
    isCancelled = true;
    cancelNext();
  };
}
