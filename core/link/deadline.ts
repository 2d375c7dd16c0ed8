import type { Milliseconds } from '../clock/mod.ts';

/** The fields of a `submit` frame from which its deadline is computed. */
export type RequestBudget = {
  readonly budgetMs: Milliseconds;
  readonly echo: Milliseconds;
  readonly sinceEchoMs: Milliseconds;
};

/**
 * Converts a request's time budget to a deadline on the receiver's clock, without synchronized
 * clocks.
 *
 * The sender wrote the frame `sinceEchoMs` after it had received the receiver's timestamp `echo`.
 * Counting from that timestamp, network delay and pauses of the sender use up the budget.
 *
 * @param budget The timing fields of the frame.
 * @returns The deadline, early by the network delay of the timestamp from receiver to sender.
 */
export function deadlineFromBudget(budget: RequestBudget): Milliseconds {
  return budget.echo + budget.sinceEchoMs + budget.budgetMs;
}
