import { expect } from 'chai';
import { rendezvousOrder } from '../placement/mod.ts';
import type { Milliseconds } from '../clock/mod.ts';
import type { TokenLimit } from '../serving/mod.ts';
import { windowAllowance } from './mod.ts';
import { LEARNING_MS, simulateTokenLimits } from './testing/tokenLimitSimulation.ts';
import type {
  SimulatedRequest,
  SimulatedTenant,
  TokenLimitSimulationOptions,
} from './testing/tokenLimitSimulation.ts';

const BOUNDS = { windowMs: 8000, overage: 0.25, slack: 17_000 };

const LIMIT: TokenLimit = { perSecond: 225_975, burst: 225_975 };

const LEAST_USE = 0.97;

const SEEDS = Array.from({ length: Number(process.env.LIMIT_SEEDS ?? 2) }, (_, index) => index + 1);

const TENANT: SimulatedTenant = {
  name: 't1',
  limits: [{ from: 0, limit: LIMIT }],
  demandAt: () => 3 * LIMIT.perSecond,
};

const DEFAULTS: Omit<TokenLimitSimulationOptions, 'seed'> = {
  entries: 24,
  bounds: BOUNDS,
  tenants: [TENANT],
  durationMs: 30_000,
};

const NAMES = Array.from({ length: DEFAULTS.entries }, (_, index) => `10.0.0.${index}:7001`);

/** Indices of the entries in the order in which they issue the tokens of `TENANT`. */
const ISSUERS = rendezvousOrder(TENANT.name, NAMES).map((name) => NAMES.indexOf(name));

/** Returns a share of the demand at one entry; the others divide the rest. */
function mostlyAt(chosen: number, share: number, entry: number, entries: number): number {
  return entry === chosen ? share : (1 - share) / (entries - 1);
}

/** The most tokens that were sent by callers and arrived at servers within one window. */
function worstWindow(
  requests: readonly SimulatedRequest[],
  from: Milliseconds = 0,
  until: Milliseconds = Infinity,
): number {
  const arrived = requests
    .flatMap(({ arrivedAt, sentAt, tokens }) =>
      arrivedAt !== undefined && sentAt >= from && arrivedAt < until ? [{ arrivedAt, tokens }] : [],
    )
    .sort((a, b) => a.arrivedAt - b.arrivedAt);
  let [first, sum, worst] = [0, 0, 0];
  arrived.forEach(({ arrivedAt, tokens }) => {
    sum += tokens;
    while (arrived[first]!.arrivedAt <= arrivedAt - BOUNDS.windowMs) {
      sum -= arrived[first]!.tokens;
      first += 1;
    }
    worst = Math.max(worst, sum);
  });
  return worst;
}

/** Tokens a second that were admitted between two times. */
function admittedPerSecond(
  requests: readonly SimulatedRequest[],
  from: Milliseconds,
  until: Milliseconds,
): number {
  const tokens = requests
    .filter(
      ({ decidedAt = -1, isAdmitted }) => isAdmitted && decidedAt >= from && decidedAt < until,
    )
    .reduce((sum, request) => sum + request.tokens, 0);
  return (tokens / (until - from)) * 1000;
}

/** Cases, and the times between which the limit must be used in full; none where failures forbid it. */
const CASES: Readonly<
  Record<
    string,
    Partial<TokenLimitSimulationOptions> & {
      readonly used?: readonly (readonly [Milliseconds, Milliseconds])[];
    }
  >
> = {
  'demand a little above the limit': {
    tenants: [{ ...TENANT, demandAt: () => 1.2 * LIMIT.perSecond }],
    used: [[4000, 30_000]],
  },
  'demand at eight times the limit': {
    tenants: [{ ...TENANT, demandAt: () => 8 * LIMIT.perSecond }],
    used: [[4000, 30_000]],
  },
  'most demand at one entry': {
    tenants: [{ ...TENANT, shareAt: (entry) => mostlyAt(0, 0.9, entry, 24) }],
    used: [[4000, 30_000]],
  },
  'most demand at one of three hundred entries': {
    entries: 300,
    durationMs: 16_000,
    tenants: [{ ...TENANT, shareAt: (entry) => mostlyAt(0, 0.9, entry, 300) }],
    used: [[4000, 16_000]],
  },
  'three hundred entries': {
    entries: 300,
    durationMs: 16_000,
    tenants: [{ ...TENANT, demandAt: () => 1.5 * LIMIT.perSecond }],
    used: [[4000, 16_000]],
  },
  'callers that move to another entry': {
    tenants: [
      {
        ...TENANT,
        demandAt: () => 1.5 * LIMIT.perSecond,
        shareAt: (entry, now) => mostlyAt(now < 15_000 ? 0 : 1, 0.9, entry, 24),
      },
    ],
    used: [
      [4000, 15_000],
      [17_000, 30_000],
    ],
  },
  'callers that move from one zone to another and back every three seconds': {
    tenants: [
      {
        ...TENANT,
        demandAt: () => 1.5 * LIMIT.perSecond,
        shareAt: (entry, now) => (Math.floor(now / 3000) % 4 === entry % 4 ? 1 : 0.01),
      },
    ],
  },
  'demand that comes after a rest': {
    tenants: [{ ...TENANT, demandAt: (now) => (now < 15_000 ? 0 : 4 * LIMIT.perSecond) }],
    used: [[17_000, 30_000]],
  },
  'a partition into two': {
    partAt: (entry, now) => (now > 12_000 && now < 22_000 ? entry % 2 : 0),
  },
  'a partition that cuts off the issuer': {
    partAt: (entry, now) => (now > 12_000 && now < 22_000 && entry === ISSUERS[0] ? 1 : 0),
    used: [[26_000, 30_000]],
  },
  'partitions that come and go': {
    partAt: (entry, now) => (Math.floor(now / 2000) % 2 === 1 ? entry % 2 : 0),
  },
  'a partition of every entry from every other for longer than they stay listed': {
    durationMs: 60_000,
    partAt: (entry, now) => (now > 12_000 && now < 50_000 ? entry : 0),
  },
  'ends of all entries': {
    ends: [12_000, 15_000, 18_000, 21_000].map((at) => ({ at, entry: 'all' as const })),
    used: [[25_000, 30_000]],
  },
  'ends of one issuer after the other': {
    ends: ISSUERS.slice(0, 4).map((entry, index) => ({ at: 12_000 + index * 3000, entry })),
  },
  'issuers that are frozen': {
    freezes: ISSUERS.slice(0, 4).map((entry, index) => ({
      at: 12_000 + index * 4000,
      entry,
      durationMs: 3000,
    })),
  },
  'half of the entries frozen': {
    freezes: [{ at: 12_000, entry: 'half', durationMs: 3000 }],
    used: [[20_000, 30_000]],
  },
  'messages that are lost': { lossShare: 0.03 },
  'requests that do not run, and then all run': { notRun: { share: 0.5, afterMs: 3000 } },
};

describe('leases on the tokens of a tenant', () => {
  Object.entries(CASES).forEach(([name, { used = [], ...options }]) => {
    describe(`with ${name}`, () => {
      SEEDS.forEach((seed) => {
        it(`keep the limit in any window and use it (seed ${seed})`, () => {
          const { requests } = simulateTokenLimits({ ...DEFAULTS, ...options, seed });
          expect(worstWindow(requests)).to.be.at.most(windowAllowance(LIMIT, BOUNDS));
          used.forEach(([from, until]) => {
            const admitted = admittedPerSecond(requests, from, until);
            expect(admitted / LIMIT.perSecond).to.be.at.least(LEAST_USE);
          });
        });
      });
    });
  });

  const STEPS: Readonly<Record<string, readonly [number, number]>> = {
    lowered: [1, 0.25],
    raised: [0.25, 1],
  };

  Object.entries(STEPS).forEach(([name, [before, after]]) => {
    it(`keep a limit that is ${name} once all entries may know of it, and use it`, () => {
      const scaled = (factor: number): TokenLimit => ({
        perSecond: LIMIT.perSecond * factor,
        burst: LIMIT.burst * factor,
      });
      const changedAt = 12_000;
      const { requests } = simulateTokenLimits({
        ...DEFAULTS,
        seed: 1,
        tenants: [
          {
            ...TENANT,
            limits: [
              { from: 0, limit: scaled(before) },
              { from: changedAt, limit: scaled(after) },
            ],
          },
        ],
      });
      const knownFrom = changedAt + LEARNING_MS;
      const allowedBefore = windowAllowance(scaled(before), BOUNDS);
      const allowedAfter = windowAllowance(scaled(after), BOUNDS);
      expect(worstWindow(requests, 0, changedAt)).to.be.at.most(allowedBefore);
      expect(worstWindow(requests, knownFrom)).to.be.at.most(allowedAfter);
      expect(worstWindow(requests)).to.be.at.most(Math.max(allowedBefore, allowedAfter));
      const admitted = admittedPerSecond(requests, knownFrom + 2000, 30_000);
      expect(admitted / scaled(after).perSecond).to.be.at.least(LEAST_USE);
    });
  });

  it('refuse almost nothing while demand is below the limit', () => {
    const { requests } = simulateTokenLimits({
      ...DEFAULTS,
      seed: 1,
      tenants: [{ ...TENANT, demandAt: () => 0.9 * LIMIT.perSecond }],
    });
    const settled = requests.filter(({ sentAt }) => sentAt >= 4000 && sentAt < 29_000);
    const admitted = settled.filter(({ isAdmitted }) => isAdmitted).length;
    expect(admitted / settled.length).to.be.at.least(LEAST_USE);
  });

  it('refuse almost nothing of sixteen small tenants below their limits', () => {
    const limit = { perSecond: LIMIT.perSecond / 16, burst: LIMIT.burst / 16 };
    const { requests } = simulateTokenLimits({
      ...DEFAULTS,
      seed: 1,
      entries: 30,
      tenants: Array.from({ length: 16 }, (_, index) => ({
        ...TENANT,
        name: `small-${index}`,
        limits: [{ from: 0, limit }],
        demandAt: () => 0.8 * limit.perSecond,
      })),
    });
    const settled = requests.filter(({ sentAt }) => sentAt >= 4000 && sentAt < 29_000);
    const admitted = settled.filter(({ isAdmitted }) => isAdmitted).length;
    expect(admitted / settled.length).to.be.at.least(LEAST_USE);
  });

  // Entries that answered later than others expected were passed over, and their tokens dropped.
  describe('with event loops that take long turns', () => {
    const slow: Readonly<Record<string, (entry: number) => boolean>> = {
      'all entries': () => true,
      'every other entry': (entry) => entry % 2 === 0,
    };
    const tenants = [30_000, 60_000].map((perSecond) => ({
      ...TENANT,
      name: `of-${perSecond}`,
      limits: [{ from: 0, limit: { perSecond, burst: perSecond } }],
      demandAt: () => 0.6 * perSecond,
    }));

    Object.entries(slow).forEach(([name, isSlow]) => {
      [100, 200, 300].forEach((turnMs) => {
        it(`of ${turnMs} ms at ${name}, refuse almost nothing of tenants below their limits`, () => {
          const requests = [1, 2, 3, 4].flatMap(
            (seed) =>
              simulateTokenLimits({
                ...DEFAULTS,
                seed,
                tenants,
                turnMsOf: (entry) => (isSlow(entry) ? turnMs : 0),
              }).requests,
          );
          tenants.forEach((tenant) => {
            const settled = requests.filter(
              (request) =>
                request.tenant === tenant.name && request.sentAt >= 4000 && request.sentAt < 28_000,
            );
            const admitted = settled.filter(({ isAdmitted }) => isAdmitted).length;
            expect(admitted / settled.length).to.be.at.least(LEAST_USE);
          });
        });
      });
    });

    it('of 1200 ms at entries on small hosts, refuse almost nothing at the others', () => {
      const isSmall = (entry: number): boolean => entry % 2 === 0;
      const requests = [1, 2, 3, 4].flatMap(
        (seed) =>
          simulateTokenLimits({
            ...DEFAULTS,
            seed,
            tenants,
            turnMsOf: (entry) => (isSmall(entry) ? 1200 : 0),
            capacityOf: (entry) => (isSmall(entry) ? 18 : 68),
          }).requests,
      );
      const settled = requests.filter(
        ({ entry, sentAt }) => !isSmall(entry) && sentAt >= 4000 && sentAt < 28_000,
      );
      const admitted = settled.filter(({ isAdmitted }) => isAdmitted).length;
      expect(admitted / settled.length).to.be.at.least(LEAST_USE);
    });

    it('of 200 ms at every other entry, keep a limit in any window', () => {
      const { requests } = simulateTokenLimits({
        ...DEFAULTS,
        seed: 1,
        turnMsOf: (entry) => (slow['every other entry']!(entry) ? 200 : 0),
      });
      expect(worstWindow(requests)).to.be.at.most(windowAllowance(LIMIT, BOUNDS));
    });
  });

  it('leave a tenant within its limit alone beside one that sends eight times its share', () => {
    const { requests } = simulateTokenLimits({
      ...DEFAULTS,
      seed: 1,
      tenants: [
        { ...TENANT, demandAt: () => 8 * LIMIT.perSecond },
        { ...TENANT, name: 't2', demandAt: () => 0.8 * LIMIT.perSecond },
      ],
    });
    const within = requests.filter(
      ({ tenant, sentAt }) => tenant === 't2' && sentAt >= 4000 && sentAt < 29_000,
    );
    const admitted = within.filter(({ isAdmitted }) => isAdmitted).length;
    expect(admitted / within.length).to.be.at.least(0.99);
  });

  it('go to urgent requests first without starving others', () => {
    const { requests } = simulateTokenLimits({
      ...DEFAULTS,
      seed: 1,
      tenants: [{ ...TENANT, demandAt: () => 2.5 * LIMIT.perSecond, priorities: [0.3, 0.3, 0.4] }],
    });
    const settled = requests.filter(({ sentAt }) => sentAt >= 4000 && sentAt < 29_000);
    const shares = [0, 1, 2].map((priority) => {
      const own = settled.filter((request) => request.priority === priority);
      return own.filter(({ isAdmitted }) => isAdmitted).length / own.length;
    });
    expect(shares[0]).to.be.at.least(0.85);
    expect(shares[0]).to.be.above(shares[1]!);
    expect(shares[1]).to.be.at.least(shares[2]!);
    expect(shares[2]).to.be.at.least(0.04);
  });

  it('are decided at once, or after one answer of an issuer', () => {
    const { requests } = simulateTokenLimits({ ...DEFAULTS, seed: 1 });
    const waits = requests
      .flatMap(({ sentAt, decidedAt }) => (decidedAt === undefined ? [] : [decidedAt - sentAt]))
      .sort((a, b) => a - b);
    expect(waits[Math.floor(waits.length * 0.99)]).to.be.at.most(20);
  });

  it('are there for callers that come back when they were told, more often than at first', () => {
    const { requests } = simulateTokenLimits({
      ...DEFAULTS,
      seed: 1,
      callersReturn: true,
      tenants: [{ ...TENANT, demandAt: (now) => (now % 6000 < 1500 ? 3 : 0.5) * LIMIT.perSecond }],
    });
    const admittedShare = (isReturn: boolean): number => {
      const own = requests.filter(
        (request) => request.isReturn === isReturn && request.sentAt >= 4000,
      );
      return own.filter(({ isAdmitted }) => isAdmitted).length / own.length;
    };
    expect(admittedShare(true)).to.be.above(admittedShare(false));
  });

  // Callers were told to come back at once, or seconds after the issuers were ready.
  it('are there for callers that come back after all entries have started again', () => {
    const startedAt = 12_700;
    const warmUpMs = 1500;
    const { requests } = simulateTokenLimits({
      ...DEFAULTS,
      seed: 1,
      callersReturn: true,
      ends: [{ at: 12_000, entry: 'all' }],
      tenants: [{ ...TENANT, demandAt: () => 0.5 * LIMIT.perSecond }],
      durationMs: 20_000,
    });
    const after = requests.filter(({ sentAt }) => sentAt >= startedAt);
    const returns = after.filter(({ isReturn }) => isReturn);
    const early = returns.filter(({ sentAt }) => sentAt < startedAt + warmUpMs);
    expect(early).to.have.length(0);
    expect(returns.filter(({ isAdmitted }) => isAdmitted).length).to.be.above(returns.length / 2);
  });
});
