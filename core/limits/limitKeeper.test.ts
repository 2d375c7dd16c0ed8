import { expect } from 'chai';
import fc from 'fast-check';
import type { TenantLimit } from '../set/mod.ts';
import { chooseRelays } from './chooseRelays.ts';
import { DemandRelay } from './demandRelay.ts';
import { LimitKeeper } from './limitKeeper.ts';
import { shareOfLimit } from './shareOfLimit.ts';

function limit(requestsPerSecond: number, requestsInFlight: number): TenantLimit {
  return { kind: 'limit', name: 't', requestsPerSecond, requestsInFlight };
}

function keeperOf(one: TenantLimit, entries = 1): LimitKeeper {
  const keeper = new LimitKeeper();
  keeper.applyLimits(new Map([['t', one]]), 0);
  keeper.applyEntries(entries);
  return keeper;
}

describe('shareOfLimit', () => {
  it('never gives all entries together more than the limit, whichever relay each one hears', () => {
    const entry = fc.record({
      demand: fc.double({ min: 0, max: 1e6, noNaN: true }),
      side: fc.nat(2),
    });
    fc.assert(
      fc.property(
        fc.array(entry, { minLength: 1, maxLength: 30 }),
        fc.nat(2e6),
        (entries, allowed) => {
          const shares = entries.map(({ demand, side }) => {
            const heard = entries.filter((each) => each.side === side);
            const sum = heard.reduce((total, each) => total + each.demand, 0);
            // Side 0 hears no relay at all.
            const total = side === 0 ? undefined : { entries: heard.length, sum };
            return shareOfLimit({ limit: allowed, entries: entries.length, own: demand, total });
          });
          expect(shares.reduce((total, share) => total + share, 0)).to.be.at.most(1 + 1e-9);
        },
      ),
      { seed: 20261203, numRuns: 500 },
    );
  });
});

describe('a tenant that asks for half of its limit', () => {
  it('has room for its requests at an entry that the last few did not reach', () => {
    const total = { entries: 2, sum: 4 };
    const share = shareOfLimit({ limit: 8, entries: 2, own: 0.2, total });
    expect(share * 8).to.be.at.least(2);
  });
});

describe('LimitKeeper', () => {
  it('lets tenants without a limit and with limits of 0 pass', () => {
    const keeper = keeperOf(limit(0, 0));
    for (let count = 0; count < 1000; count += 1) {
      expect(keeper.admit('t', 0)).to.equal(undefined);
      expect(keeper.admit('other', 0)).to.equal(undefined);
    }
  });

  it('refuses above the rate as not run, with the time after which a permit is there', () => {
    const keeper = keeperOf(limit(10, 0));
    for (let count = 0; count < 10; count += 1) {
      expect(keeper.admit('t', 0)).to.equal(undefined);
    }
    const refusal = keeper.admit('t', 0);
    expect(refusal).to.include({ kind: 'not-run', reason: 'limit', retryAfterMs: 100 });
    expect(keeper.admit('t', 100)).to.equal(undefined);
  });

  it('counts requests in flight and never below none', () => {
    const keeper = keeperOf(limit(0, 2));
    keeper.release('t');
    expect([keeper.admit('t', 0), keeper.admit('t', 0)]).to.deep.equal([undefined, undefined]);
    expect(keeper.admit('t', 0)).to.include({ reason: 'limit' });
    keeper.release('t');
    expect(keeper.admit('t', 0)).to.equal(undefined);
  });

  it('goes back to an even split when no relay is heard any more', () => {
    const keeper = keeperOf(limit(100, 0), 4);
    for (let count = 0; count < 100; count += 1) keeper.admit('t', 0);
    keeper.demand(['t'], 0);
    keeper.noteTotals(
      'r',
      [{ tenant: 't', requestsPerSecond: 100, requestsInFlight: 1, entries: 4 }],
      0,
    );
    expect(keeper.uses(0)[0]?.requestsPerSecond).to.be.greaterThan(90);
    expect(keeper.uses(5000)[0]).to.include({ requestsPerSecond: 25, entriesHeard: 0 });
  });
});

describe('DemandRelay', () => {
  it('forgets silent entries and is bounded in entries and tenants', () => {
    const relay = new DemandRelay({ mostEntries: 2, mostTenants: 3 });
    const demand = Array.from({ length: 10 }, (_, index) => ({
      tenant: `t${index}`,
      requestsPerSecond: 2,
      requestsInFlight: 1,
    }));
    ['e1', 'e2', 'e3'].forEach((entry) => relay.note(entry, demand, 0));
    expect(relay.totals(0)).to.have.length(3);
    expect(relay.totals(0)[0]).to.include({ entries: 2, requestsPerSecond: 4 });
    expect(relay.totals(1000)).to.deep.equal([]);
  });
});

describe('chooseRelays', () => {
  it('gives each tenant two relays that stay when other hosts leave', () => {
    const hosts = Array.from({ length: 50 }, (_, index) => `h${index}`);
    const before = [...chooseRelays(['t'], hosts).keys()].sort();
    expect(before).to.have.length(2);
    const others = hosts.filter((host) => before.includes(host) || host.endsWith('1'));
    expect([...chooseRelays(['t'], others).keys()].sort()).to.deep.equal(before);
  });
});
