import { expect } from 'chai';
import { shouldShed } from './mod.ts';
import type { SheddingInput } from './mod.ts';

describe('shouldShed', () => {
  const calm: SheddingInput = {
    lagMs: 5,
    peerLagsMs: [3, 4, 6],
    sinceChangeMs: 60_000,
    isShedding: false,
  };

  it('does not shed while the entry is as fast as the others', () => {
    expect(shouldShed(calm)).to.equal(false);
  });

  it('sheds when the entry lags and the others do not', () => {
    expect(shouldShed({ ...calm, lagMs: 150 })).to.equal(true);
  });

  it('does not shed when all entries lag, as in a burst', () => {
    expect(shouldShed({ ...calm, lagMs: 150, peerLagsMs: [100, 160, 20] })).to.equal(false);
  });

  it('does not shed when it knows of no other entry', () => {
    expect(shouldShed({ ...calm, lagMs: 150, peerLagsMs: [] })).to.equal(false);
  });

  it('stops shedding once the lag has recovered, but not before the load balancer has noticed', () => {
    const shedding: SheddingInput = { ...calm, isShedding: true };
    expect(shouldShed({ ...shedding, sinceChangeMs: 1000 })).to.equal(true);
    expect(shouldShed({ ...shedding, sinceChangeMs: 4000 })).to.equal(false);
    expect(shouldShed({ ...shedding, sinceChangeMs: 4000, lagMs: 150 })).to.equal(true);
  });

  it('serves some of the time even if it stays slow', () => {
    expect(shouldShed({ ...calm, lagMs: 150, isShedding: true, sinceChangeMs: 13_000 })).to.equal(
      false,
    );
    expect(shouldShed({ ...calm, lagMs: 150, sinceChangeMs: 500 })).to.equal(false);
  });
});
