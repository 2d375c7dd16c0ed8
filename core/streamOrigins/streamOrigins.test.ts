import { expect } from 'chai';
import {
  agreedVersion,
  chooseAsked,
  chooseHolders,
  chooseOriginHolders,
  OriginLedger,
  OriginLookup,
  VersionHistory,
} from './mod.ts';

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
  it('knows a version until a minute after it was last seen, and is complete after a minute', () => {
    const history = new VersionHistory(0);
    expect(history.summaryOf('s', 0)).to.deep.equal({ versions: [], isComplete: false });
    history.note('s', 'v1', 0);
    history.note('s', 'v2', 0);
    history.note('s', 'v2', 60_001);
    expect(history.summaryOf('s', 59_999)).to.deep.equal({
      versions: ['v1', 'v2'],
      isComplete: false,
    });
    expect(history.summaryOf('s', 60_000).isComplete).to.equal(true);
    expect(history.summaryOf('s', 60_001).versions).to.deep.equal(['v2']);
  });
});

describe('agreedVersion', () => {
  const complete = { versions: ['v1'], isComplete: true };

  it('is the only version that anybody saw, if one has watched for long enough', () => {
    const young = { versions: ['v1'], isComplete: false };
    expect(agreedVersion([young, complete])).to.equal('v1');
    expect(agreedVersion([{ versions: [], isComplete: false }, complete])).to.equal('v1');
  });

  it('is unknown if all are young, if any saw another version, and if nobody saw one', () => {
    const young = { versions: ['v1'], isComplete: false };
    expect(agreedVersion([])).to.equal(undefined);
    expect(agreedVersion([young, young])).to.equal(undefined);
    expect(agreedVersion([complete, { versions: ['v2'], isComplete: false }])).to.equal(undefined);
    expect(agreedVersion([{ versions: [], isComplete: true }])).to.equal(undefined);
  });
});

describe('chooseOriginHolders', () => {
  const key = { service: 's', requestId: 'r' };
  const keepers = (count: number, version: string, service = 's') =>
    Array.from({ length: count }, (_, index) => ({
      address: `${service}-${version}-${index}`,
      service,
      version,
    }));
  const entries = Array.from({ length: 9 }, (_, index) => `e${index}`);

  it('chooses keepers beside servers of the version, and one entry', () => {
    const all = [...keepers(6, 'v1'), ...keepers(6, 'v2')];
    const holders = chooseOriginHolders(key, 'v2', { entries, keepers: all });
    expect(holders.filter((name) => name.startsWith('s-v2'))).to.have.length(3);
    expect(holders).to.have.length(4);
  });

  it('fills up with other keepers, and with entries where there are too few keepers', () => {
    const mixed = [...keepers(1, 'v2'), ...keepers(6, 'v1')];
    const holders = chooseOriginHolders(key, 'v2', { entries, keepers: mixed });
    expect(holders[0]).to.equal('s-v2-0');
    expect(holders.filter((name) => name.startsWith('s-'))).to.have.length(3);
    const few = chooseOriginHolders(key, 'v2', { entries, keepers: keepers(2, 'v1') });
    expect(few.filter((name) => name.startsWith('e'))).to.have.length(4);
  });

  it('is found by those who ask after half of the keepers have been replaced', () => {
    const before = [...keepers(20, 'v1'), ...keepers(4, 'v2')];
    const after = [...keepers(3, 'v1'), ...keepers(20, 'v2')];
    const names = Array.from({ length: 200 }, (_, index) => `r${index}`);
    const found = names.filter((requestId) => {
      const holders = chooseOriginHolders({ ...key, requestId }, 'v2', {
        entries: [],
        keepers: before,
      });
      const asked = chooseAsked({ ...key, requestId }, { entries: [], keepers: after });
      return holders.some((name) => asked.includes(name));
    });
    expect(found.length / names.length).to.be.at.least(0.9);
  });

  it('asks keepers of each version, and entries, in a bounded number', () => {
    const all = [...keepers(100, 'v1'), ...keepers(100, 'v2'), ...keepers(100, 'v1', 't')];
    const asked = chooseAsked(key, { entries, keepers: all });
    expect(asked.length).to.be.within(36, 53);
  });
});

describe('OriginLookup', () => {
  function createLookup(holders: readonly string[], onlyVersion?: string) {
    const asked: string[] = [];
    const results: (string | undefined)[] = [];
    const majorities: boolean[] = [];
    const lookup = new OriginLookup(
      {
        holdersOf: () => holders,
        onlyVersionOf: () => onlyVersion,
        ask: (holder) => asked.push(holder),
        onResult: (_key, { version, hasMajority }) => {
          results.push(version);
          majorities.push(hasMajority);
        },
      },
      0,
    );
    return { lookup, asked, results, majorities };
  }

  it('does not know a stream of which processes tell several versions', () => {
    const { lookup, results } = createLookup(['a', 'b', 'c']);
    lookup.begin({ service: 's', requestId: 'r' }, 5000);
    lookup.applyAnswer('a', { number: 1, version: 'v1' }, 5010);
    lookup.applyAnswer('b', { number: 1, version: 'v2' }, 5011);
    const seen = { versions: ['v1'], isComplete: true };
    lookup.applyAnswer('c', { number: 1, seen }, 5012);
    expect(results).to.deep.equal([undefined]);
  });

  it('ends at once with the version that its own process takes for the only one', () => {
    const { lookup, results } = createLookup(['a', 'b'], 'v1');
    lookup.begin({ service: 's', requestId: 'r' }, 5000);
    lookup.applyAnswer('b', { number: 1, version: 'v1' }, 5010);
    expect(results).to.deep.equal(['v1']);
  });

  it('tells whether most of those that were asked have answered', () => {
    const { lookup, majorities } = createLookup(['a', 'b', 'c', 'd']);
    lookup.begin({ service: 's', requestId: 'r' }, 5000);
    lookup.applyAnswer('a', { number: 1 }, 5010);
    lookup.applyAnswer('b', { number: 1 }, 5010);
    lookup.tick(5500);
    lookup.begin({ service: 's', requestId: 'r' }, 6000);
    ['a', 'b', 'c'].forEach((name) => lookup.applyAnswer(name, { number: 2 }, 6010));
    lookup.tick(6500);
    expect(majorities).to.deep.equal([false, true]);
  });

  it('ends with the version soon after the first answer, though others do not answer', () => {
    const { lookup, results } = createLookup(['a', 'b']);
    lookup.begin({ service: 's', requestId: 'r' }, 5000);
    lookup.applyAnswer('b', { number: 1, version: 'v1' }, 5010);
    lookup.tick(5059);
    expect(results).to.deep.equal([]);
    lookup.tick(5060);
    expect(results).to.deep.equal(['v1']);
  });

  it('ends with the version that all tell or do not know, and only once', () => {
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

  it('does not take ignorance for an answer while its own process has just started', () => {
    const { lookup, results } = createLookup(['a', 'b', 'c', 'd']);
    lookup.begin({ service: 's', requestId: 'r' }, 10);
    ['a', 'b', 'c', 'd'].forEach((name) => lookup.applyAnswer(name, { number: 1 }, 20));
    lookup.tick(1499);
    expect(results).to.deep.equal([]);
    lookup.tick(1500);
    expect(results).to.deep.equal([undefined]);
  });

  it('takes the ignorance of one that has watched for long enough for an answer', () => {
    const { lookup, results } = createLookup(['a', 'b']);
    lookup.begin({ service: 's', requestId: 'r' }, 10);
    lookup.applyAnswer('a', { number: 1 }, 20);
    const seen = { versions: ['v1'], isComplete: true };
    lookup.applyAnswer('b', { number: 1, seen }, 20);
    expect(results).to.deep.equal([undefined]);
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
    lookup.tick(260);
    expect(asked).to.deep.equal(['a', 'b']);
    expect(results).to.deep.equal(['v2']);
  });
});
