import { repeat } from '../core/clock/mod.ts';
import type { Cancellation, Clock, Milliseconds } from '../core/clock/mod.ts';
import { runAll } from '../core/collections/mod.ts';
import { limitLogRate } from '../log/mod.ts';
import type { Log } from '../log/mod.ts';

/** Options of `repeatSteps`. */
export type RepeatStepsOptions = {
  /** Name of the task, for the log. */
  readonly task: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Returns the time until the next run. */
  readonly intervalMs: () => Milliseconds;
  /** What a run does, in this order; a step that throws does not keep the next ones from running. */
  readonly steps: readonly (() => void)[];
};

/** Runs steps again and again until they are cancelled; logs their errors, at most one a second. */
export function repeatSteps({ task, steps, ...options }: RepeatStepsOptions): Cancellation {
  const log = limitLogRate(options.log, options.clock);
  return repeat({
    ...options,
    run: () => runAll(steps, (step) => step()),
    onError: (error) => {
      const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
      log('internalError', { task, error: text });
    },
  });
}
