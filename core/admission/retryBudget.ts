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
 * A token bucket that limits retries to a share of the first attempts, so that they cannot multiply the
 * load of backend servers that already refuse requests.
 */
export class RetryBudget {
  readonly #perRequest: number;

  #limit: number;

  #tokens: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#perRequest = options.perRequest ?? 0.1;
    this.#limit = options.limit ?? 20;
    this.#tokens = Math.min(options.initial ?? this.#limit, this.#limit);
  }

  /** Changes the limit and drops retries beyond it. */
  applyLimit(limit: number): void {
    this.#limit = limit;
    this.#tokens = Math.min(this.#tokens, limit);
  }

  /** Records a first attempt. */
  noteRequest(): void {
    this.#tokens = Math.min(this.#limit, this.#tokens + this.#perRequest);
  }

  /** Takes one retry from the budget. Returns whether there was one. */
  tryRetry(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
