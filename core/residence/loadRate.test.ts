import { expect } from 'chai';
import { createAdaptiveRateLimiter } from './loadRate.ts';

describe('createAdaptiveRateLimiter', () => {
  it('lowers the rate on slow loads and raises it on fast ones, within the floor and the ceiling', () => {
    const rate = createAdaptiveRateLimiter({ floorPerSecond: 1, ceilingPerSecond: 4 });
    rate.recordDuration(1000);
    expect(rate.perSecond()).to.equal(3);
    for (let load = 0; load < 9; load += 1) rate.recordDuration(1000);
    expect(rate.perSecond()).to.equal(1);
    for (let load = 0; load < 9; load += 1) rate.recordDuration(250);
    expect(rate.perSecond()).to.equal(4);
  });

  it('spaces loads by the rate at the start of the previous load', () => {
    const rate = createAdaptiveRateLimiter({ floorPerSecond: 1, ceilingPerSecond: 4 });
    rate.recordStart(0);
    expect([rate.mayStartLoad(249), rate.mayStartLoad(250)]).to.deep.equal([false, true]);
  });
});
