import { RetryBudget, retryBurstLimit } from '../../core/admission/mod.ts';

/** Limits of retries, which may change while the process runs. */
export type RetryLimits = {
  /** Retries allowed, as a share of the requests. */
  readonly retryShare: number;
  /** Additional retries allowed per service, for all entries together. */
  readonly retrySlack: number;
};

/** Options of `RetryBudgets`. */
export type RetryBudgetsOptions = RetryLimits & {
  /** Returns the largest number of entries ever known; `undefined` before any other was seen. */
  readonly maxKnownEntries: () => number | undefined;
};

/** Share of the allowed retries that is used; a margin for differences in counting requests. */
const RETRY_SAFETY_FACTOR = 0.8;

/** The retry budgets of one entry, by service. */
export class RetryBudgets {
  readonly #budgets = new Map<string, RetryBudget>();

  readonly #maxKnownEntries: () => number | undefined;

  #limits: RetryLimits;

  constructor(options: RetryBudgetsOptions) {
    this.#limits = options;
    this.#maxKnownEntries = options.maxKnownEntries;
  }

  /** Applies new limits and discards the budgets accumulated under the old ones. */
  applyLimits(limits: RetryLimits): void {
    this.#limits = limits;
    this.#budgets.clear();
  }

  /** Returns the budget of a service. */
  of(service: string): RetryBudget {
    const { retryShare, retrySlack } = this.#limits;
    const limit = retryBurstLimit({ slack: retrySlack, entries: this.#maxKnownEntries() });
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      const perRequest = retryShare * RETRY_SAFETY_FACTOR;
      // Shortly after the start too few other entries may be known to grant the full limit.
      const initial = retryBurstLimit({ slack: retrySlack, entries: undefined });
      budget = new RetryBudget({ perRequest, limit, initial });
      this.#budgets.set(service, budget);
    }
    budget.applyLimit(limit);
    return budget;
  }
}
