import type { Milliseconds } from '../../core/clock/mod.ts';

/** Options of `throttleProcess`. */
export type ThrottleOptions = {
  /** Time that the process runs in each period. */
  readonly runMs: Milliseconds;
  readonly periodMs: Milliseconds;
};

/** Stops a process for a part of each period, as a processor quota does; returns a function that ends this. */
export function throttleProcess(pid: number, { runMs, periodMs }: ThrottleOptions): () => void {
  let timer: NodeJS.Timeout;
  const run = (): void => {
    process.kill(pid, 'SIGCONT');
    timer = setTimeout(() => {
      process.kill(pid, 'SIGSTOP');
      timer = setTimeout(run, periodMs - runMs);
    }, runMs);
  };
  run();
  return () => {
    clearTimeout(timer);
    process.kill(pid, 'SIGCONT');
  };
}
