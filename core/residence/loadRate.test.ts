import { expect } from 'chai';
import { createAdaptiveRate } from './loadRate.ts';

describe('createAdaptiveRate', () => {
  it('falls on slow loads, not below the floor, and rises on quick ones, not above the ceiling', () => {
    const rate = createAdaptiveRate({ floorPerSecond: 1, ceilingPerSecond: 4 });
    rate.ended(1000);
    expect(rate.perSecond()).to.equal(3);
    for (let load = 0; load < 9; load += 1) rate.ended(1000);
    expect(rate.perSecond()).to.equal(1);
    for (let load = 0; load < 9; load += 1) rate.ended(250);
    expect(rate.perSecond()).to.equal(4);
  });

  it('spaces loads by the rate in force when the last one started', () => {
    const rate = createAdaptiveRate({ floorPerSecond: 1, ceilingPerSecond: 4 });
    rate.started(0);
    expect([rate.mayStart(249), rate.mayStart(250)]).to.deep.equal([false, true]);
  });
});
