import { expect } from 'chai';
import fc from 'fast-check';
import type { TenantLimit } from '../set/mod.ts';
import { chooseRelays } from './chooseRelays.ts';
import { DemandRelay } from './demandRelay.ts';
import { TenantLimiter } from './tenantLimiter.ts';
import { shareOfLimit } from './shareOfLimit.ts';

function limit(requestsPerSecond: number, requestsInFlight: number): TenantLimit {
  return { kind: 'limit', name: 't', requestsPerSecond, requestsInFlight };
}

function limiterOf(tenantLimit: TenantLimit, entries = 1): TenantLimiter {
  const limiter = new TenantLimiter();
  limiter.applyLimits(new Map([['t', tenantLimit]]), 0);
  limiter.setEntryCount(entries);
  return limiter;
}

describe('shareOfLimit', () => {
  it('never gives all entries together more than the limit, whichever relay each entry uses', () => {
    const entry = fc.record({
      demand: fc.double({ min: 0, max: 1e6, noNaN: true }),
      relay: fc.nat(2),
    });
    fc.assert(
      fc.property(
        fc.array(entry, { minLength: 1, maxLength: 30 }),
        fc.nat(2e6),
        (entries, allowed) => {
          const shares = entries.map(({ demand, relay }) => {
            const covered = entries.filter((each) => each.relay === relay);
            const sum = covered.reduce((total, each) => total + each.demand, 0);
            // Entries with relay 0 receive no total.
            const total = relay === 0 ? undefined : { entries: covered.length, sum };
            return shareOfLimit({
              limit: allowed,
              entries: entries.length,
              ownDemand: demand,
              total,
            });
          });
          expect(shares.reduce((total, share) => total + share, 0)).to.be.at.most(1 + 1e-9);
        },
      ),
      { seed: 20261203, numRuns: 500 },
    );
  });
});

describe('a tenant with half the demand that its limit allows', () => {
  it('can send requests to an entry that got few of its recent ones', () => {
    const total = { entries: 2, sum: 4 };
    const share = shareOfLimit({ limit: 8, entries: 2, ownDemand: 0.2, total });
    expect(share * 8).to.be.at.least(2);
  });
});

describe('TenantLimiter', () => {
  it('admits all requests of tenants without a limit or with limits of 0', () => {
    const limiter = limiterOf(limit(0, 0));
    for (let count = 0; count < 1000; count += 1) {
      expect(limiter.admit('t', 0)).to.equal(undefined);
      expect(limiter.admit('other', 0)).to.equal(undefined);
    }
  });

  it('refuses requests above the rate as not run, with the time until the next token', () => {
    const limiter = limiterOf(limit(10, 0));
    for (let count = 0; count < 10; count += 1) {
      expect(limiter.admit('t', 0)).to.equal(undefined);
    }
    const refusal = limiter.admit('t', 0);
    expect(refusal).to.include({ kind: 'not-run', reason: 'limit', retryAfterMs: 100 });
    expect(limiter.admit('t', 100)).to.equal(undefined);
  });

  it('limits requests in flight and never counts below zero', () => {
    const limiter = limiterOf(limit(0, 2));
    limiter.release('t');
    expect([limiter.admit('t', 0), limiter.admit('t', 0)]).to.deep.equal([undefined, undefined]);
    expect(limiter.admit('t', 0)).to.include({ reason: 'limit' });
    limiter.release('t');
    expect(limiter.admit('t', 0)).to.equal(undefined);
  });

  it('returns to an even split when the relay totals are stale', () => {
    const limiter = limiterOf(limit(100, 0), 4);
    for (let count = 0; count < 100; count += 1) limiter.admit('t', 0);
    limiter.demand(['t'], 0);
    limiter.applyTotals(
      'r',
      [{ tenant: 't', requestsPerSecond: 100, requestsInFlight: 1, entries: 4 }],
      0,
    );
    expect(limiter.uses(0)[0]?.requestsPerSecond).to.be.greaterThan(90);
    expect(limiter.uses(5000)[0]).to.include({ requestsPerSecond: 25, entriesHeard: 0 });
  });
});

describe('DemandRelay', () => {
  it('drops stale reports and bounds the number of entries and tenants', () => {
    const relay = new DemandRelay({ maxEntries: 2, maxTenants: 3 });
    const demand = Array.from({ length: 10 }, (_, index) => ({
      tenant: `t${index}`,
      requestsPerSecond: 2,
      requestsInFlight: 1,
    }));
    ['e1', 'e2', 'e3'].forEach((entry) => relay.applyReport(entry, demand, 0));
    expect(relay.totals(0)).to.have.length(3);
    expect(relay.totals(0)[0]).to.include({ entries: 2, requestsPerSecond: 4 });
    expect(relay.totals(1000)).to.deep.equal([]);
  });
});

describe('chooseRelays', () => {
  it('gives each tenant two relays that stay the same when other hosts leave', () => {
    const hosts = Array.from({ length: 50 }, (_, index) => `h${index}`);
    const before = [...chooseRelays(['t'], hosts).keys()].sort();
    expect(before).to.have.length(2);
    const others = hosts.filter((host) => before.includes(host) || host.endsWith('1'));
    expect([...chooseRelays(['t'], others).keys()].sort()).to.deep.equal(before);
  });
});
