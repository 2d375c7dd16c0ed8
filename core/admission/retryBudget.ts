/** How to build a `RetryBudget`. */
export type RetryBudgetOptions = {
  /** Retries that each first attempt allows. @default 0.1 */
  readonly perRequest?: number;
  /** Retries that may be saved up. @default 20 */
  readonly limit?: number;
  /** Retries that are saved up at the start. @default as many as may be saved up */
  readonly initial?: number;
};

/**
 * Bounds the retries of a process to a share of its first attempts, so that retries cannot
 * multiply the load of backend servers that already refuse work.
 */
export class RetryBudget {
  readonly #perRequest: number;

  #limit: number;

  #saved: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#perRequest = options.perRequest ?? 0.1;
    this.#limit = options.limit ?? 20;
    this.#saved = Math.min(options.initial ?? this.#limit, this.#limit);
  }

  /** Puts another limit on what may be saved up. */
  applyLimit(limit: number): void {
    this.#limit = limit;
    this.#saved = Math.min(this.#saved, limit);
  }

  /** Notes a first attempt. */
  noteRequest(): void {
    this.#saved = Math.min(this.#limit, this.#saved + this.#perRequest);
  }

  /** Takes one retry from the budget; returns whether there was one. */
  tryRetry(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
