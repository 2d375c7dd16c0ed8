import { expect } from 'chai';
import { createAdaptiveRateLimiter } from './loadRate.ts';

describe('createAdaptiveRateLimiter', () => {
  it('lowers the rate on slow loads and raises it on fast ones, within the floor and the ceiling', () => {
    const limiter = createAdaptiveRateLimiter({ floorPerSecond: 1, ceilingPerSecond: 4 });
    limiter.recordDuration(1000);
    expect(limiter.perSecond()).to.equal(3);
    for (let load = 0; load < 9; load += 1) limiter.recordDuration(1000);
    expect(limiter.perSecond()).to.equal(1);
    for (let load = 0; load < 9; load += 1) limiter.recordDuration(250);
    expect(limiter.perSecond()).to.equal(4);
  });

  it('allows the next load one interval of the current rate after the previous one', () => {
    const limiter = createAdaptiveRateLimiter({ floorPerSecond: 1, ceilingPerSecond: 4 });
    limiter.recordStart(0);
    expect([limiter.mayStartLoad(249), limiter.mayStartLoad(250)]).to.deep.equal([false, true]);
  });
});
