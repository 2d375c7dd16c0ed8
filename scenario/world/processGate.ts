import type { Clock } from '../../core/clock/mod.ts';

/** Holds back everything that happens to one process while it is paused. */
export class ProcessGate {
  readonly #clock: Clock;

  #paused = false;

  #dead = false;

  #held: (() => void)[] = [];

  readonly #onKill = new Set<() => void>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether the process has been killed. */
  get dead(): boolean {
    return this.#dead;
  }

  /** Whether the process is paused. */
  get paused(): boolean {
    return this.#paused;
  }

  /** The clock as the process sees it: calls wait while it is paused. */
  readonly clock: Clock = {
    now: () => this.#clock.now(),
    schedule: (delay, run) => {
      let cancelled = false;
      const cancel = this.#clock.schedule(delay, () =>
        this.run(() => {
          if (!cancelled) run();
        }),
      );
      return () => {
        cancelled = true;
        cancel();
      };
    },
  };

  /** Runs a call now, at wake, or never when the process is dead. */
  run(call: () => void): void {
    if (this.#dead) return;
    if (this.#paused) this.#held.push(call);
    else call();
  }

  /** Pauses the process. */
  pause(): void {
    this.#paused = true;
  }

  /** Wakes the process; what was held happens now, in order. */
  wake(): void {
    this.#paused = false;
    const held = this.#held;
    this.#held = [];
    held.forEach((call) => this.run(call));
  }

  /** Ends the process without a word. */
  kill(): void {
    this.#dead = true;
    this.#held = [];
    this.#onKill.forEach((call) => call());
    this.#onKill.clear();
  }

  /** Calls back when the process is killed; returns how to take that back. */
  onKill(call: () => void): () => void {
    this.#onKill.add(call);
    return () => this.#onKill.delete(call);
  }

  /** Returns a promise that settles as the process sees it: at wake, or never when dead. */
  hold<T>(promise: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      promise.then(
        (value) => this.run(() => resolve(value)),
        (error: unknown) => this.run(() => reject(new Error(String(error)))),
      );
    });
  }
}
