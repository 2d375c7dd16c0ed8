import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { DemandRelay, TenantLimiter, TokenBucket } from '../../core/limits/mod.ts';
import type { TenantLimit } from '../../core/set/mod.ts';

/** How a limit is held. */
export type LimitWay = 'static split' | 'split by demand' | 'at the sidecars';

/** What befalls the entries. */
export type LimitCase = 'even' | 'skewed' | 'entry dead' | 'partition';

/** What one way gave in one case. */
export type LimitFigure = {
  readonly case: LimitCase;
  readonly way: LimitWay;
  /** Most requests admitted in any second after the start, over the limit, less 1. */
  readonly overshoot: number;
  /** The same at the start, when unused permits are there. */
  readonly overshootAtStart: number;
  /** Requests admitted over those that the limit allows. */
  readonly used: number;
  /** Greatest less least share of requests admitted, among entries. */
  readonly unfairness: number;
};

/** The cases in the order in which they are reported. */
export const LIMIT_CASES: readonly LimitCase[] = ['even', 'skewed', 'entry dead', 'partition'];

/** The ways in the order in which they are reported. */
export const LIMIT_WAYS: readonly LimitWay[] = [
  'static split',
  'split by demand',
  'at the sidecars',
];

const TENANT = 't';
const LIMIT_PER_SECOND = 200;
const OFFERED_PER_SECOND = 300;
const ENTRIES = 8;
const SIDECARS = 16;
const HEARTBEAT_MS = 250;
const STEP_MS = 1;
const WARM_UP_MS = 5000;
const RUN_MS = 40_000;
const FAULT_AT_MS = 15_000;
const LISTED_AFTER_MS = 10_000;
const SECOND_MS = 1000;
const SKEWED_SHARE = 0.7;

const LIMIT: TenantLimit = {
  kind: 'limit',
  name: TENANT,
  requestsPerSecond: LIMIT_PER_SECOND,
  requestsInFlight: 0,
};

type Admit = (entry: number, sidecar: number, now: number) => boolean;

type Way = { readonly admit: Admit; readonly pass: (now: number) => void };

function isAlive(which: LimitCase, entry: number, now: number): boolean {
  return which !== 'entry dead' || entry !== 0 || now < FAULT_AT_MS;
}

function offeredShare(which: LimitCase, entry: number, now: number): number {
  if (which === 'skewed') return entry === 0 ? SKEWED_SHARE : (1 - SKEWED_SHARE) / (ENTRIES - 1);
  if (!isAlive(which, entry, now)) return 0;
  const dead = which === 'entry dead' && now >= FAULT_AT_MS ? 1 : 0;
  return 1 / (ENTRIES - dead);
}

/** Which relay an entry reaches: both, or the one on its side of a partition. */
function reaches(which: LimitCase, entry: number, relay: number, now: number): boolean {
  return which !== 'partition' || now < FAULT_AT_MS || entry % 2 === relay;
}

function keepersWay(which: LimitCase, relays: readonly DemandRelay[]): Way {
  const keepers = Array.from({ length: ENTRIES }, () => new TenantLimiter());
  keepers.forEach((keeper) => {
    keeper.applyLimits(new Map([[TENANT, LIMIT]]), 0);
    keeper.setEntryCount(ENTRIES);
  });
  const exchange = (now: number): void => {
    relays.forEach((relay, number) => {
      keepers.forEach((keeper, entry) => {
        const hears = isAlive(which, entry, now) && reaches(which, entry, number, now);
        if (hears) keeper.applyTotals(String(number), relay.totals(now), now);
      });
      keepers.forEach((keeper, entry) => {
        const speaks = isAlive(which, entry, now) && reaches(which, entry, number, now);
        if (speaks) relay.applyReport(String(entry), keeper.demand([TENANT], now), now);
      });
    });
  };
  return {
    admit: (entry, _sidecar, now) => keepers[entry]!.admit(TENANT, now) === undefined,
    pass: (now) => {
      if (now % HEARTBEAT_MS === 0) exchange(now);
      const isListed = which !== 'entry dead' || now < FAULT_AT_MS + LISTED_AFTER_MS;
      keepers.forEach((keeper) => keeper.setEntryCount(isListed ? ENTRIES : ENTRIES - 1));
    },
  };
}

function sidecarsWay(): Way {
  const perSecond = LIMIT_PER_SECOND / SIDECARS;
  const buckets = Array.from({ length: SIDECARS }, () => new TokenBucket(0, perSecond));
  return {
    admit: (_entry, sidecar, now) => buckets[sidecar]!.take(now, perSecond) === 0,
    pass: () => undefined,
  };
}

const WAYS: Readonly<Record<LimitWay, (which: LimitCase) => Way>> = {
  'static split': (which) => keepersWay(which, []),
  'split by demand': (which) => keepersWay(which, [new DemandRelay(), new DemandRelay()]),
  'at the sidecars': () => sidecarsWay(),
};

type Tally = {
  readonly admittedAt: number[];
  readonly offered: number[];
  readonly admitted: number[];
};

function play(which: LimitCase, way: Way, seed: number): Tally {
  const random = xoroshiro128plus(seed);
  const tally: Tally = {
    admittedAt: [],
    offered: Array<number>(ENTRIES).fill(0),
    admitted: Array<number>(ENTRIES).fill(0),
  };
  const chance = (OFFERED_PER_SECOND * STEP_MS) / SECOND_MS;
  for (let now = 0; now < RUN_MS; now += STEP_MS) {
    way.pass(now);
    for (let entry = 0; entry < ENTRIES; entry += 1) {
      const arrives = uniformFloat64(random) < chance * offeredShare(which, entry, now);
      // The square favours the first sidecars, as popular adapters do.
      const sidecar = Math.floor(uniformFloat64(random) ** 2 * SIDECARS);
      if (arrives) {
        const isAdmitted = way.admit(entry, sidecar, now);
        if (isAdmitted) tally.admittedAt.push(now);
        if (now >= WARM_UP_MS) {
          tally.offered[entry]! += 1;
          if (isAdmitted) tally.admitted[entry]! += 1;
        }
      }
    }
  }
  return tally;
}

function mostInOneSecond(times: readonly number[]): number {
  let most = 0;
  let first = 0;
  times.forEach((time, last) => {
    while (times[first]! <= time - SECOND_MS) first += 1;
    most = Math.max(most, last - first + 1);
  });
  return most;
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

/**
 * Measures one way of holding a limit in one case, on virtual time.
 *
 * @param which What befalls the entries.
 * @param name How the limit is held.
 * @param seed Draws the arrivals.
 */
export function measureLimit(which: LimitCase, name: LimitWay, seed = 1): LimitFigure {
  const tally = play(which, WAYS[name](which), seed);
  const allowed = (LIMIT_PER_SECOND * (RUN_MS - WARM_UP_MS)) / SECOND_MS;
  const total = tally.admitted.reduce((sum, count) => sum + count, 0);
  const overshootOf = (times: readonly number[]): number =>
    round(mostInOneSecond(times) / LIMIT_PER_SECOND - 1);
  const shares = tally.admitted.map((count, entry) => count / Math.max(1, tally.offered[entry]!));
  return {
    case: which,
    way: name,
    overshoot: overshootOf(tally.admittedAt.filter((time) => time >= WARM_UP_MS)),
    overshootAtStart: overshootOf(tally.admittedAt.filter((time) => time < WARM_UP_MS)),
    used: round(total / allowed),
    unfairness: round(Math.max(...shares) - Math.min(...shares)),
  };
}

/** Measures every way in every case. */
export function measureLimits(seed = 1): readonly LimitFigure[] {
  return LIMIT_CASES.flatMap((which) => LIMIT_WAYS.map((way) => measureLimit(which, way, seed)));
}
