import { expect } from 'chai';
import { PermitIssuer } from './mod.ts';
import type { PermitRequest, Reach } from './mod.ts';

const SERVER = 'i-1';

const REQUEST: PermitRequest = { number: 1, server: SERVER, priority: 0, maxWaitMs: 60_000 };

/** Time after which an issuer no longer expects another one to be in charge as well. */
const SETTLED_MS = 5000;

function createIssuer(perSecond: number | undefined, reach?: () => Reach): PermitIssuer {
  return new PermitIssuer({
    rateOf: () => perSecond,
    reach: reach ?? ((): Reach => ({ known: 1, reachable: 1 })),
  });
}

/** Lets some holders ask all the time; returns the holders in the order of their permits. */
function grantsBetween(
  issuer: PermitIssuer,
  holders: readonly Pick<PermitRequest, 'priority'>[],
  from: number,
  until: number,
): readonly number[] {
  const granted: number[] = [];
  for (let now = 0; now < until; now += 20) {
    const immediate = holders.flatMap(({ priority }, index) => {
      const answer = issuer.request(`h${index}`, { ...REQUEST, priority }, now);
      return answer.kind === 'granted' ? [index] : [];
    });
    const later = issuer.tick(now).map(({ holder }) => Number(holder.slice(1)));
    if (now >= from) granted.push(...immediate, ...later);
  }
  return granted;
}

describe('PermitIssuer', () => {
  it('issues a little less than the limit, and half of that while it may have taken over', () => {
    const issuer = createIssuer(10);
    expect(grantsBetween(issuer, [{ priority: 0 }], 0, 4000)).to.have.length.within(16, 18);
    expect(grantsBetween(createIssuer(10), [{ priority: 0 }], 5000, 15_000)).to.have.length.within(
      88,
      91,
    );
  });

  it('issues by the share of the entries in touch, at most all', () => {
    const shares = [
      [10, 10, 90],
      [10, 8, 90],
      [10, 5, 67],
      [10, 1, 13],
    ] as const;
    shares.forEach(([known, reachable, expected]) => {
      const issuer = createIssuer(10, () => ({ known, reachable }));
      const granted = grantsBetween(issuer, [{ priority: 0 }], SETTLED_MS, SETTLED_MS + 10_000);
      expect(granted.length).to.be.within(expected - 3, expected + 3);
    });
  });

  it('gives each holder its turn', () => {
    const holders = [0, 0, 0, 0].map((priority) => ({ priority }));
    const granted = grantsBetween(createIssuer(4), holders, SETTLED_MS, SETTLED_MS + 10_000);
    holders.forEach((_, index) => {
      expect(granted.filter((holder) => holder === index).length).to.be.within(8, 10);
    });
  });

  it('prefers urgent requests, and lets none of the others starve', () => {
    const holders = [{ priority: 0 }, { priority: 5 }, { priority: 5 }];
    const granted = grantsBetween(createIssuer(2), holders, SETTLED_MS, SETTLED_MS + 40_000);
    const counts = holders.map((_, index) => granted.filter((holder) => holder === index).length);
    expect(counts[0]).to.be.greaterThan(2 * counts[1]!);
    expect(Math.min(...counts)).to.be.at.least(4);
  });

  it('saves up one permit only', () => {
    const issuer = createIssuer(2);
    issuer.request('h0', { ...REQUEST, maxWaitMs: 1 }, 0);
    expect(issuer.request('h0', REQUEST, 30_000).kind).to.equal('granted');
    expect(issuer.request('h1', REQUEST, 30_000).kind).to.equal('queued');
  });

  it('grants at once what has no limit any more', () => {
    expect(createIssuer(undefined).request('h0', REQUEST, 0).kind).to.equal('granted');
  });

  it('denies what would come too late, with the wait, and forgets who does not wait any longer', () => {
    const issuer = createIssuer(0.2);
    const answer = issuer.request('h0', { ...REQUEST, maxWaitMs: 500 }, 0);
    expect(answer).to.include({ kind: 'denied' });
    expect(answer.waitMs).to.be.within(5000, 15_000);
    expect(issuer.hasWaiting).to.equal(false);
    issuer.request('h1', { ...REQUEST, maxWaitMs: 20_000 }, 0);
    expect(issuer.hasWaiting).to.equal(true);
    issuer.tick(20_001);
    expect(issuer.hasWaiting).to.equal(false);
  });
});
