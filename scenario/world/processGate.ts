import type { Clock } from '../../core/clock/mod.ts';

/** Defers all callbacks into one process while it is paused and drops them once it is killed. */
export class ProcessGate {
  readonly #clock: Clock;

  #isPaused = false;

  #isKilled = false;

  #deferred: (() => void)[] = [];

  readonly #killListeners = new Set<() => void>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether the process has been killed. */
  get isKilled(): boolean {
    return this.#isKilled;
  }

  /** Whether the process is paused. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** The clock for the process: due timers are deferred while it is paused. */
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

  /** Runs a call at once, or after a pause; never once the process is killed. */
  run(call: () => void): void {
    if (this.#isKilled) return;
    if (this.#isPaused) this.#deferred.push(call);
    else call();
  }

  /** Pauses the process. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Resumes the process and runs the deferred calls in order. */
  resume(): void {
    this.#isPaused = false;
    const deferred = this.#deferred;
    this.#deferred = [];
    deferred.forEach((call) => this.run(call));
  }

  /** Kills the process without a graceful shutdown. */
  kill(): void {
    this.#isKilled = true;
    this.#deferred = [];
    this.#killListeners.forEach((call) => call());
    this.#killListeners.clear();
  }

  /** Registers a callback for the kill; returns a function that removes it. */
  onKill(call: () => void): () => void {
    this.#killListeners.add(call);
    return () => this.#killListeners.delete(call);
  }

  /** Returns a promise that settles after any pause, and never once the process is killed. */
  gatePromise<T>(promise: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      promise.then(
        (value) => this.run(() => resolve(value)),
        (error: unknown) => this.run(() => reject(new Error(String(error)))),
      );
    });
  }
}
