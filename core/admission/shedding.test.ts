import { expect } from 'chai';
import { shouldShed } from './mod.ts';
import type { Strain } from './mod.ts';

describe('shouldShed', () => {
  const calm: Strain = { lagMs: 5, peerLagsMs: [3, 4, 6], sinceMs: 60_000, isShedding: false };

  it('keeps callers while the entry is as quick as the others', () => {
    expect(shouldShed(calm)).to.equal(false);
  });

  it('sends callers away when the host is slow and the others are not', () => {
    expect(shouldShed({ ...calm, lagMs: 150 })).to.equal(true);
  });

  it('keeps callers when all entries are behind, as in a burst', () => {
    expect(shouldShed({ ...calm, lagMs: 150, peerLagsMs: [100, 160, 20] })).to.equal(false);
  });

  it('keeps callers when it hears of no other entry', () => {
    expect(shouldShed({ ...calm, lagMs: 150, peerLagsMs: [] })).to.equal(false);
  });

  it('takes callers again once it has caught up, not before the balancer has noticed', () => {
    const shedding: Strain = { ...calm, isShedding: true };
    expect(shouldShed({ ...shedding, sinceMs: 1000 })).to.equal(true);
    expect(shouldShed({ ...shedding, sinceMs: 4000 })).to.equal(false);
    expect(shouldShed({ ...shedding, sinceMs: 4000, lagMs: 150 })).to.equal(true);
  });

  it('takes a share of the callers even if it stays slow', () => {
    expect(shouldShed({ ...calm, lagMs: 150, isShedding: true, sinceMs: 13_000 })).to.equal(false);
    expect(shouldShed({ ...calm, lagMs: 150, sinceMs: 500 })).to.equal(false);
  });
});
