import { expect } from 'chai';
import { agedFacts, FactCopies } from './mod.ts';

const COPY = {
  quarantine: {
    ends: [{ id: 'x', server: 's', service: 'llm', ageMs: 100, traits: ['t'] }],
    clearances: [{ trait: 'u', ageMs: 200 }],
    verdicts: [{ trait: 't', endCount: 3, trialCount: 0, isDoubtful: false, ageMs: 50 }],
  },
  limits: [{ server: 's', perSecond: 2, isEnded: false, ageMs: 10 }],
  notices: [{ id: 's', bornAt: 1, isLeaving: false, pauseLeftMs: 400 }],
};

describe('agedFacts', () => {
  it('makes facts older, and pauses shorter, by the time that has passed', () => {
    const { quarantine, requests, limits, notices } = agedFacts(COPY, 1000);
    expect(quarantine?.ends[0]).to.deep.include({ id: 'x', ageMs: 1100 });
    expect(quarantine?.clearances[0]).to.deep.equal({ trait: 'u', ageMs: 1200 });
    expect(quarantine?.verdicts[0]).to.deep.include({ trait: 't', endCount: 3, ageMs: 1050 });
    expect(requests).to.equal(undefined);
    expect(limits?.[0]).to.deep.include({ perSecond: 2, ageMs: 1010 });
    expect(notices?.[0]).to.deep.include({ pauseLeftMs: 0 });
  });
});

describe('FactCopies', () => {
  it('tells an entry what others have sent, but not its own', () => {
    const copies = new FactCopies();
    copies.keep('a', COPY, 0);
    expect(copies.copiesFor('a', 0)).to.deep.equal([]);
    expect(copies.copiesFor('b', 10)[0]?.limits?.[0]?.ageMs).to.equal(20);
  });

  it('keeps the latest copy of each of two entries, for ten minutes', () => {
    const copies = new FactCopies();
    copies.keep('a', {}, 0);
    copies.keep('b', {}, 0);
    copies.keep('a', COPY, 1);
    copies.keep('c', {}, 2);
    expect(copies.copiesFor('d', 2)).to.have.length(2);
    expect(copies.copiesFor('d', 2)[0]?.limits).to.have.length(1);
    expect(copies.copiesFor('d', 600_001)).to.have.length(2);
    expect(copies.copiesFor('d', 600_003)).to.have.length(0);
  });
});
