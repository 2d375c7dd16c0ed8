import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { DemandRelay, TenantLimiter, TokenBucket } from '../../core/limits/mod.ts';
import type { TenantLimit } from '../../core/set/mod.ts';

/**
 * How a limit is enforced: a fixed share per entry, shares that follow demand, or a fixed share per
 * sidecar.
 */
export type LimitMethod = 'static split' | 'split by demand' | 'at the sidecars';

/** The load pattern or fault of the entries. */
export type LimitCase = 'even' | 'skewed' | 'entry dead' | 'partition';

/** The result of one method in one case. */
export type LimitResult = {
  readonly case: LimitCase;
  readonly way: LimitMethod;
  /** Most requests admitted in any second after the warm-up, over the limit, minus 1. */
  readonly overshoot: number;
  /** The same during the warm-up, when the token buckets start full. */
  readonly overshootAtStart: number;
  /** Requests admitted, as a share of what the limit allows. */
  readonly used: number;
  /** Difference between the highest and the lowest share of requests that an entry admits. */
  readonly unfairness: number;
};

/** The cases, in report order. */
export const LIMIT_CASES: readonly LimitCase[] = ['even', 'skewed', 'entry dead', 'partition'];

/** The methods, in report order. */
export const LIMIT_METHODS: readonly LimitMethod[] = [
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
const DELISTING_DELAY_MS = 10_000;
const SECOND_MS = 1000;

/** Share of the load that the first entry receives in the skewed case. */
const HOT_SHARE = 0.7;

const LIMIT: TenantLimit = {
  kind: 'limit',
  name: TENANT,
  requestsPerSecond: LIMIT_PER_SECOND,
  requestsInFlight: 0,
};

type Admit = (entry: number, sidecar: number, now: number) => boolean;

type Enforcer = { readonly admit: Admit; readonly tick: (now: number) => void };

function isAlive(limitCase: LimitCase, entry: number, now: number): boolean {
  return limitCase !== 'entry dead' || entry !== 0 || now < FAULT_AT_MS;
}

function offeredShare(limitCase: LimitCase, entry: number, now: number): number {
  if (limitCase === 'skewed') return entry === 0 ? HOT_SHARE : (1 - HOT_SHARE) / (ENTRIES - 1);
  if (!isAlive(limitCase, entry, now)) return 0;
  const deadEntries = limitCase === 'entry dead' && now >= FAULT_AT_MS ? 1 : 0;
  return 1 / (ENTRIES - deadEntries);
}

/** Returns whether an entry reaches a relay: both, or only the one on its side of a partition. */
function canReach(limitCase: LimitCase, entry: number, relay: number, now: number): boolean {
  return limitCase !== 'partition' || now < FAULT_AT_MS || entry % 2 === relay;
}

function createEntryEnforcer(limitCase: LimitCase, relays: readonly DemandRelay[]): Enforcer {
  const limiters = Array.from({ length: ENTRIES }, () => new TenantLimiter());
  limiters.forEach((limiter) => {
    limiter.applyLimits(new Map([[TENANT, LIMIT]]), 0);
    limiter.setEntryCount(ENTRIES);
  });
  const exchangeDemand = (now: number): void => {
    relays.forEach((relay, relayIndex) => {
      limiters.forEach((limiter, entry) => {
        const getsTotals =
          isAlive(limitCase, entry, now) && canReach(limitCase, entry, relayIndex, now);
        if (getsTotals) limiter.applyTotals(String(relayIndex), relay.totals(now), now);
      });
      limiters.forEach((limiter, entry) => {
        const sendsDemand =
          isAlive(limitCase, entry, now) && canReach(limitCase, entry, relayIndex, now);
        if (sendsDemand) relay.applyReport(String(entry), limiter.demand([TENANT], now), now);
      });
    });
  };
  return {
    admit: (entry, _sidecar, now) => limiters[entry]!.admit(TENANT, now) === undefined,
    tick: (now) => {
      if (now % HEARTBEAT_MS === 0) exchangeDemand(now);
      const isListed = limitCase !== 'entry dead' || now < FAULT_AT_MS + DELISTING_DELAY_MS;
      limiters.forEach((limiter) => limiter.setEntryCount(isListed ? ENTRIES : ENTRIES - 1));
    },
  };
}

function createSidecarEnforcer(): Enforcer {
  const perSecond = LIMIT_PER_SECOND / SIDECARS;
  const buckets = Array.from({ length: SIDECARS }, () => new TokenBucket(0, perSecond));
  return {
    admit: (_entry, sidecar, now) => buckets[sidecar]!.take(now, perSecond) === 0,
    tick: () => undefined,
  };
}

const ENFORCERS: Readonly<Record<LimitMethod, (limitCase: LimitCase) => Enforcer>> = {
  'static split': (limitCase) => createEntryEnforcer(limitCase, []),
  'split by demand': (limitCase) =>
    createEntryEnforcer(limitCase, [new DemandRelay(), new DemandRelay()]),
  'at the sidecars': () => createSidecarEnforcer(),
};

type ArrivalCounts = {
  readonly admittedAt: number[];
  readonly offered: number[];
  readonly admitted: number[];
};

function simulate(limitCase: LimitCase, enforcer: Enforcer, seed: number): ArrivalCounts {
  const random = xoroshiro128plus(seed);
  const counts: ArrivalCounts = {
    admittedAt: [],
    offered: Array<number>(ENTRIES).fill(0),
    admitted: Array<number>(ENTRIES).fill(0),
  };
  const arrivalProbability = (OFFERED_PER_SECOND * STEP_MS) / SECOND_MS;
  for (let now = 0; now < RUN_MS; now += STEP_MS) {
    enforcer.tick(now);
    for (let entry = 0; entry < ENTRIES; entry += 1) {
      const arrives =
        uniformFloat64(random) < arrivalProbability * offeredShare(limitCase, entry, now);
      // Squaring skews the load towards the first sidecars, as popular adapters do.
      const sidecar = Math.floor(uniformFloat64(random) ** 2 * SIDECARS);
      if (arrives) {
        const isAdmitted = enforcer.admit(entry, sidecar, now);
        if (isAdmitted) counts.admittedAt.push(now);
        if (now >= WARM_UP_MS) {
          counts.offered[entry]! += 1;
          if (isAdmitted) counts.admitted[entry]! += 1;
        }
      }
    }
  }
  return counts;
}

function maxInOneSecond(times: readonly number[]): number {
  let max = 0;
  let first = 0;
  times.forEach((time, last) => {
    while (times[first]! <= time - SECOND_MS) first += 1;
    max = Math.max(max, last - first + 1);
  });
  return max;
}

function roundToThousandths(value: number): number {
  return Math.round(value * 1000) / 1000;
}

/**
 * Measures one enforcement method in one case, in virtual time.
 *
 * @param seed Seed of the random arrivals.
 */
export function measureLimit(limitCase: LimitCase, method: LimitMethod, seed = 1): LimitResult {
  const counts = simulate(limitCase, ENFORCERS[method](limitCase), seed);
  const allowed = (LIMIT_PER_SECOND * (RUN_MS - WARM_UP_MS)) / SECOND_MS;
  const total = counts.admitted.reduce((sum, count) => sum + count, 0);
  const overshootOf = (times: readonly number[]): number =>
    roundToThousandths(maxInOneSecond(times) / LIMIT_PER_SECOND - 1);
  const shares = counts.admitted.map((count, entry) => count / Math.max(1, counts.offered[entry]!));
  return {
    case: limitCase,
    way: method,
    overshoot: overshootOf(counts.admittedAt.filter((time) => time >= WARM_UP_MS)),
    overshootAtStart: overshootOf(counts.admittedAt.filter((time) => time < WARM_UP_MS)),
    used: roundToThousandths(total / allowed),
    unfairness: roundToThousandths(Math.max(...shares) - Math.min(...shares)),
  };
}

/** Measures every method in every case. */
export function measureLimits(seed = 1): readonly LimitResult[] {
  return LIMIT_CASES.flatMap((limitCase) =>
    LIMIT_METHODS.map((method) => measureLimit(limitCase, method, seed)),
  );
}
