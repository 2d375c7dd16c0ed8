import { expect } from 'chai';
import { chooseHolders, OriginLedger, OriginLookup, VersionHistory } from './mod.ts';

function origin(requestId: string, version = 'v1', beganBy = 'e1') {
  return { service: 's', requestId, version, beganBy };
}

describe('OriginLedger', () => {
  it('keeps streams of several services apart', () => {
    const ledger = new OriginLedger();
    ledger.note(origin('r'), 0);
    expect(ledger.find({ service: 's', requestId: 'r' }, 0)).to.deep.equal(origin('r'));
    expect(ledger.find({ service: 't', requestId: 'r' }, 0)).to.equal(undefined);
  });

  it('keeps no empty or long ids, and no more origins than its bound', () => {
    const ledger = new OriginLedger();
    ledger.note(origin(''), 0);
    ledger.note(origin('x'.repeat(201)), 0);
    expect(ledger.size).to.equal(0);
    for (let number = 0; number < 30_010; number += 1) ledger.note(origin(`r${number}`), 0);
    expect(ledger.size).to.equal(30_000);
    expect(ledger.find({ service: 's', requestId: 'r0' }, 0)).to.equal(undefined);
  });

  it('stays uncertain of a name that streams of two versions had', () => {
    const ledger = new OriginLedger();
    ledger.note(origin('r', 'v1', 'e1'), 0);
    ledger.note(origin('r', 'v2', 'e2'), 0);
    ledger.note(origin('r', 'v2', 'e2'), 0);
    expect(ledger.find({ service: 's', requestId: 'r' }, 0)).to.equal(undefined);
  });
});

describe('chooseHolders', () => {
  const names = (count: number): string[] => Array.from({ length: count }, (_, i) => `e${i}`);
  const key = { service: 's', requestId: 'r' };

  it('chooses the same four, whatever the order, and all of up to four', () => {
    const chosen = chooseHolders(key, names(20));
    expect(chosen).to.have.length(4);
    expect(chooseHolders(key, names(20).reverse())).to.deep.equal(chosen);
    expect(chooseHolders(key, names(3))).to.have.members(names(3));
  });

  it('spreads streams over at most 32 processes', () => {
    const used = new Set(
      names(1000).flatMap((requestId) => chooseHolders({ ...key, requestId }, names(300))),
    );
    expect(used).to.have.property('size', 32);
  });
});

describe('VersionHistory', () => {
  it('knows the only version, until a minute after another one was last seen', () => {
    const history = new VersionHistory(0);
    expect(history.onlyVersionOf('s', 0)).to.equal(undefined);
    history.note('s', 'v1', 0);
    expect(history.onlyVersionOf('s', 0)).to.equal('v1');
    history.note('s', 'v2', 0);
    history.note('s', 'v2', 60_001);
    expect(history.onlyVersionOf('s', 60_000)).to.equal(undefined);
    expect(history.onlyVersionOf('s', 60_001)).to.equal('v2');
    expect(history.isComplete(59_999)).to.equal(false);
    expect(history.isComplete(60_000)).to.equal(true);
  });
});

describe('OriginLookup', () => {
  function createLookup(holders: readonly string[]) {
    const asked: string[] = [];
    const results: (string | undefined)[] = [];
    const lookup = new OriginLookup(
      {
        holdersOf: () => holders,
        ask: (holder) => asked.push(holder),
        onResult: (_key, version) => results.push(version),
      },
      0,
    );
    return { lookup, asked, results };
  }

  it('ends with the first version, and only once', () => {
    const { lookup, asked, results } = createLookup(['a', 'b']);
    lookup.begin({ service: 's', requestId: 'r' }, 5000);
    expect(asked).to.deep.equal(['a', 'b']);
    lookup.applyAnswer('a', { number: 1 }, 5010);
    lookup.applyAnswer('b', { number: 1, version: 'v1' }, 5010);
    lookup.applyAnswer('a', { number: 1, version: 'v2' }, 5020);
    lookup.tick(9000);
    expect(results).to.deep.equal(['v1']);
    expect(lookup.isActive).to.equal(false);
  });

  it('does not believe a process that was not asked', () => {
    const { lookup, results } = createLookup(['a']);
    lookup.begin({ service: 's', requestId: 'r' }, 5000);
    lookup.applyAnswer('x', { number: 1, version: 'v1' }, 5010);
    expect(results).to.deep.equal([]);
  });

  it('ends without a version once all have answered, or after a time', () => {
    const { lookup, results } = createLookup(['a', 'b']);
    lookup.begin({ service: 's', requestId: 'r' }, 5000);
    lookup.applyAnswer('a', { number: 1 }, 5010);
    lookup.applyAnswer('b', { number: 1 }, 5020);
    expect(results).to.deep.equal([undefined]);
    lookup.begin({ service: 's', requestId: 'q' }, 6000);
    lookup.tick(6499);
    expect(results).to.have.length(1);
    lookup.tick(6500);
    expect(results).to.have.length(2);
  });

  it('asks processes that become known while its own has just started', () => {
    const holders: string[] = [];
    const { lookup, asked, results } = createLookup(holders);
    lookup.begin({ service: 's', requestId: 'r' }, 10);
    holders.push('a');
    lookup.tick(100);
    lookup.applyAnswer('a', { number: 1 }, 110);
    expect(results).to.deep.equal([]);
    holders.push('b');
    lookup.tick(200);
    lookup.applyAnswer('b', { number: 1, version: 'v2' }, 210);
    expect(asked).to.deep.equal(['a', 'b']);
    expect(results).to.deep.equal(['v2']);
  });
});
