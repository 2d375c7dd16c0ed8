import type { Milliseconds } from '../clock/mod.ts';

/** The part of a `submit` frame that tells its age. */
export type Budget = {
  readonly budgetMs: Milliseconds;
  readonly echo: Milliseconds;
  readonly sinceEchoMs: Milliseconds;
};

/**
 * Computes a request's deadline on the receiver's clock.
 *
 * The sender wrote the frame `sinceEchoMs` after it had received the receiver's stamp `echo`,
 * so the frame is at least as old as that sum says, however long the network or a pause of the
 * sender kept it.
 *
 * @param budget The times in the frame.
 * @returns The deadline on the receiver's clock, early by the one-way delay of the stamp.
 */
export function deadlineFromBudget(budget: Budget): Milliseconds {
  return budget.echo + budget.sinceEchoMs + budget.budgetMs;
}
