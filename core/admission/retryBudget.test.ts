import { expect } from 'chai';
import { RetryBudget } from './retryBudget.ts';

describe('RetryBudget', () => {
  describe('tryRetry', () => {
    it('allows the initial retries and then one retry for every eight requests', () => {
      const budget = new RetryBudget({ perRequest: 0.125, limit: 2 });
      expect([budget.tryRetry(), budget.tryRetry(), budget.tryRetry()]).to.deep.equal([
        true,
        true,
        false,
      ]);
      let retries = 0;
      for (let request = 0; request < 80; request += 1) {
        budget.noteRequest();
        if (budget.tryRetry()) retries += 1;
      }
      expect(retries).to.equal(10);
    });
  });
});
