import { expect } from 'chai';
import fc from 'fast-check';
import { RetryBudget, retryBurstLimit } from './mod.ts';

/** Retries per request that services accept, besides the slack. */
const RETRY_SHARE = 0.2;

/** Part of the retry share that entries use; the same as in the gateway. */
const USED_SHARE = 0.8;

const RETRY_SLACK = 54;

const WINDOW_MS = 10_000;

type Event = { readonly at: number; readonly entry: number; readonly isRetry: boolean };

/** Replays requests and retries on several entries. Returns when requests and allowed retries were sent. */
function replay(
  budgets: readonly RetryBudget[],
  events: readonly Event[],
): { readonly requests: readonly number[]; readonly retries: readonly number[] } {
  const requests: number[] = [];
  const retries: number[] = [];
  events.forEach(({ at, entry, isRetry }) => {
    const budget = budgets[entry % budgets.length]!;
    if (!isRetry) {
      budget.noteRequest();
      requests.push(at);
    } else if (budget.tryRetry()) {
      retries.push(at);
    }
  });
  return { requests, retries };
}

function countInWindow(times: readonly number[], start: number): number {
  return times.filter((at) => at >= start && at < start + WINDOW_MS).length;
}

describe('retryBurstLimit', () => {
  const events = fc
    .array(
      fc.record({
        at: fc.nat(30_000),
        entry: fc.nat(30),
        isRetry: fc.boolean(),
      }),
      { maxLength: 800 },
    )
    .map((list) => [...list].sort((a, b) => a.at - b.at));

  /** Whether an entry knows all others, has been cut off from them or has just started. */
  const knowledge = fc.array(fc.constantFrom('all', 'cut off', 'started' as const), {
    minLength: 1,
    maxLength: 25,
  });

  it('keeps the retries of all entries within share and slack in each window', () => {
    fc.assert(
      fc.property(knowledge, events, (states, list) => {
        const budgets = states.map((state) => {
          const entries = state === 'started' ? undefined : states.length;
          const limit = retryBurstLimit({ slack: RETRY_SLACK, entries });
          return new RetryBudget({ perRequest: RETRY_SHARE * USED_SHARE, limit, initial: 1 });
        });
        const { requests, retries } = replay(budgets, list);
        retries.forEach((start) => {
          const allowed = RETRY_SHARE * countInWindow(requests, start) + RETRY_SLACK;
          expect(countInWindow(retries, start)).to.be.at.most(allowed);
        });
      }),
      { seed: 20261204, numRuns: 200 },
    );
  });

  it('shares the slack among the entries, with at least one retry for each', () => {
    expect(retryBurstLimit({ slack: RETRY_SLACK, entries: 4 })).to.equal(6.75);
    expect(retryBurstLimit({ slack: RETRY_SLACK, entries: undefined })).to.equal(1);
    expect(retryBurstLimit({ slack: 0, entries: 1 })).to.equal(1);
  });

  it('lowers a budget to the new limit when more entries become known', () => {
    const budget = new RetryBudget({ perRequest: 1, limit: 6, initial: 6 });
    budget.applyLimit(1);
    expect([budget.tryRetry(), budget.tryRetry()]).to.deep.equal([true, false]);
  });
});
