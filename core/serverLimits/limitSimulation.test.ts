import { expect } from 'chai';
import type { Milliseconds } from '../clock/mod.ts';
import { simulateLimits } from './testing/limitSimulation.ts';
import type { LimitPhase, LimitSimulationOptions } from './testing/limitSimulation.ts';

/** Time after a limit is named in which entries may still learn of it. */
const LEARNING_MS: Milliseconds = 3000;

/** Time after it is named from which on requests count, since the first response has to arrive. */
const TELLING_MS: Milliseconds = 500;

const WINDOW_MS: Milliseconds = 4000;

const MAX_EXCESS_FACTOR = 1.5;

const MAX_EXCESS_REQUESTS = 5;

const SEEDS = Array.from({ length: Number(process.env.LIMIT_SEEDS ?? 5) }, (_, index) => index + 1);

const DEFAULTS: Omit<LimitSimulationOptions, 'seed'> = {
  entries: 5,
  rate: 20,
  phases: [{ from: 5000, perSecond: 2 }],
  durationMs: 40_000,
};

const CASES: Readonly<Record<string, Partial<LimitSimulationOptions>>> = {
  'five entries': {},
  'one entry': { entries: 1 },
  'three hundred entries and one request a second': {
    entries: 300,
    rate: 300,
    phases: [{ from: 5000, perSecond: 1 }],
    durationMs: 20_000,
  },
  'three hundred entries and a request in five seconds': {
    entries: 300,
    rate: 100,
    phases: [{ from: 5000, perSecond: 0.2 }],
    durationMs: 20_000,
  },
  'a limit of fifty requests a second': { rate: 200, phases: [{ from: 5000, perSecond: 50 }] },
  'a limit that is lowered': {
    phases: [
      { from: 5000, perSecond: 8 },
      { from: 15_000, perSecond: 1 },
    ],
  },
  'a limit that ends and comes back': {
    phases: [
      { from: 5000, perSecond: 2 },
      { from: 15_000, perSecond: undefined },
      { from: 17_000, perSecond: 2 },
    ],
  },
  'entries that start again': { restartsAt: [7000, 9000, 9100, 12_000, 15_000, 18_000, 21_000] },
  'entries that are paused': { freezesAt: [7000, 9000, 12_000, 15_000, 18_000, 21_000, 24_000] },
  'a partition into two': { entries: 8, partition: { from: 12_000, parts: 2 } },
  'a partition into four': { entries: 8, partition: { from: 12_000, parts: 4 } },
  'entries of an older build': { silentEntries: 2 },
  'most requests at one entry': { firstEntryShare: 0.8 },
};

/** The most requests in any window that ends once the entries had time to learn of a limit. */
function worstWindow(
  arrivals: readonly Milliseconds[],
  from: Milliseconds,
  until: Milliseconds,
): number {
  const counted = arrivals.filter((at) => at >= from + TELLING_MS && at < until);
  return counted
    .filter((at) => at >= from + LEARNING_MS)
    .reduce((worst, end) => {
      const count = counted.filter((at) => at > end - WINDOW_MS && at <= end).length;
      return Math.max(worst, count);
    }, 0);
}

describe('permits for a server that names a limit', () => {
  Object.entries(CASES).forEach(([name, options]) => {
    describe(`with ${name}`, () => {
      SEEDS.forEach((seed) => {
        it(`never exceed the limit by more than half and five requests, nor waste it (seed ${seed})`, () => {
          const all = { ...DEFAULTS, ...options, seed };
          const { arrivals } = simulateLimits(all);
          all.phases.forEach(({ from, perSecond }: LimitPhase, index) => {
            if (perSecond === undefined) return;
            const until = all.phases[index + 1]?.from ?? all.durationMs;
            const allowed =
              (MAX_EXCESS_FACTOR * perSecond * WINDOW_MS) / 1000 + MAX_EXCESS_REQUESTS;
            expect(worstWindow(arrivals, from, until)).to.be.at.most(allowed);
            const settled = arrivals.filter((at) => at >= from + LEARNING_MS && at < until).length;
            const offered = (perSecond * (until - from - LEARNING_MS)) / 1000;
            expect(settled).to.be.at.least(Math.floor(offered / 3) - 1);
          });
        });
      });
    });
  });

  it('return the load gradually once the server names its limit no more', () => {
    const { arrivals } = simulateLimits({
      ...DEFAULTS,
      seed: 1,
      rate: 100,
      phases: [
        { from: 5000, perSecond: 2 },
        { from: 15_000, perSecond: undefined },
      ],
    });
    const perSecond = (second: number): number =>
      arrivals.filter((at) => Math.floor(at / 1000) === second).length;
    expect(perSecond(16)).to.be.at.most(10);
    expect(perSecond(18)).to.be.at.most(50);
    expect(perSecond(30)).to.be.at.least(60);
  });

  it('reach every entry that has requests', () => {
    const { sentByEntry } = simulateLimits({
      ...DEFAULTS,
      seed: 1,
      entries: 10,
      rate: 100,
      phases: [{ from: 0, perSecond: 4 }],
      durationMs: 60_000,
    });
    expect(Math.min(...sentByEntry)).to.be.at.least(5);
  });
});
