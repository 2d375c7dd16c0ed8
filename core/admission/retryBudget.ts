/** Options of a `RetryBudget`. */
export type RetryBudgetOptions = {
  /** Retries that each first attempt adds to the budget. @default 0.1 */
  readonly perRequest?: number;
  /** Retries that the budget can hold, which is the largest burst. @default 20 */
  readonly limit?: number;
  /** Retries in the budget at the start. @default `limit` */
  readonly initial?: number;
};

/**
 * A token bucket that limits the retries of a process to a share of its first attempts, so that retries
 * cannot multiply the load of backend servers that already refuse requests.
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

  /** Changes the limit and drops retries beyond it. */
  applyLimit(limit: number): void {
    this.#limit = limit;
    this.#saved = Math.min(this.#saved, limit);
  }

  /** Records a first attempt. */
  noteRequest(): void {
    this.#saved = Math.min(this.#limit, this.#saved + this.#perRequest);
  }

  /** Takes one retry from the budget. Returns whether there was one. */
  tryRetry(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
