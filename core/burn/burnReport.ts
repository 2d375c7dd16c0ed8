import { build, decodeFromCompressedBase64 } from 'hdr-histogram-js';
import type { Milliseconds } from '../clock/mod.ts';
import { UNITS_PER_MS } from './burnRecorder.ts';
import type { Cause } from './sample.ts';
import type { BurnHistogram, BurnSlot, BurnSnapshot } from './snapshot.ts';

/** A long window, and a short one that shows whether the budget is still being spent. */
export type WindowPair = {
  readonly longMs: Milliseconds;
  readonly shortMs: Milliseconds;
  /** Burn rate that raises the alarm when both windows reach it. */
  readonly alarmRate: number;
};

/** One hour with five minutes, and six hours with 30 minutes. */
export const WINDOW_PAIRS: readonly WindowPair[] = [
  { longMs: 3_600_000, shortMs: 300_000, alarmRate: 14.4 },
  { longMs: 21_600_000, shortMs: 1_800_000, alarmRate: 6 },
];

/** Request counts and burn rate of one window. */
export type WindowBurn = {
  readonly windowMs: Milliseconds;
  readonly total: number;
  readonly bad: number;
  /** Share of bad requests divided by the share that the objective allows; 1 spends the budget. */
  readonly burnRate: number;
};

/** Number of bad requests with one cause, adapter, availability zone or tenant. */
export type BurnShare = { readonly name: string; readonly count: number };

/** Percentiles of a measure, in milliseconds. */
export type MeasureSummary = {
  readonly count: number;
  readonly p50: Milliseconds;
  readonly p95: Milliseconds;
  readonly p99: Milliseconds;
};

/** Error budget and burn rates of one objective. */
export type ObjectiveBurn = {
  readonly name: string;
  readonly tenant: string;
  readonly target: number;
  readonly firstTokenMs: Milliseconds;
  readonly total: number;
  readonly bad: number;
  /** Number of bad requests that the objective allows among `total`. */
  readonly allowed: number;
  /** Share of the budget that is left; 0 when it is spent. */
  readonly budgetLeft: number;
  /** Number of bad requests above the budget. */
  readonly overspent: number;
  readonly windows: readonly {
    readonly long: WindowBurn;
    readonly short: WindowBurn;
    readonly alarm: boolean;
  }[];
  readonly byCause: readonly BurnShare[];
  readonly byAdapter: readonly BurnShare[];
  readonly byAvailabilityZone: readonly BurnShare[];
  readonly measures: Readonly<Partial<Record<BurnHistogram['measure'], MeasureSummary>>>;
  /** Burn rate in equal steps over the longest window, oldest first. */
  readonly course: readonly number[];
};

/** Share of each window that one process has data for. */
export type Coverage = {
  readonly host: string;
  readonly incarnation: string;
  readonly windows: readonly { readonly windowMs: Milliseconds; readonly coveredShare: number }[];
};

/** An incarnation that other processes had contact with but that gave no snapshot. */
export type MissingIncarnation = {
  readonly host: string;
  readonly incarnation: string;
  /** Time since the last contact. */
  readonly ageMs: Milliseconds;
};

/** Error-budget burn merged over many processes. */
export type BurnReport = {
  readonly objectives: readonly ObjectiveBurn[];
  readonly byTenant: readonly BurnShare[];
  readonly coverage: readonly Coverage[];
  readonly missing: readonly MissingIncarnation[];
};

type ObjectiveSlot = {
  readonly beganAgeMs: Milliseconds;
  readonly endedAgeMs: Milliseconds;
  readonly counts: BurnSlot['counts'];
  readonly histograms: BurnSlot['histograms'];
};

const MAX_SHARES = 10;
const COURSE_STEPS = 36;
const NOT_BAD: ReadonlySet<Cause> = new Set(['good', 'caller']);
const LONGEST_WINDOW_MS = Math.max(...WINDOW_PAIRS.map((pair) => pair.longMs));

function ratio(part: number, whole: number): number {
  return whole === 0 ? 0 : part / whole;
}

function round(value: number): number {
  return Math.round(value * 1e6) / 1e6;
}

function countBetween(
  slots: readonly ObjectiveSlot[],
  fromAgeMs: Milliseconds,
  toAgeMs: Milliseconds,
): { readonly total: number; readonly bad: number } {
  let total = 0;
  let bad = 0;
  for (const slot of slots) {
    if (slot.endedAgeMs < fromAgeMs && slot.endedAgeMs >= toAgeMs) {
      for (const { cause, count } of slot.counts) {
        if (cause !== 'caller') total += count;
        if (!NOT_BAD.has(cause)) bad += count;
      }
    }
  }
  return { total, bad };
}

function burnRateOf(
  counts: { readonly total: number; readonly bad: number },
  target: number,
): number {
  const allowedShare = Math.max(1 - target, Number.EPSILON);
  return round(ratio(counts.bad, counts.total) / allowedShare);
}

function windowBurn(
  slots: readonly ObjectiveSlot[],
  windowMs: Milliseconds,
  target: number,
): WindowBurn {
  const counts = countBetween(slots, windowMs, 0);
  return { windowMs, ...counts, burnRate: burnRateOf(counts, target) };
}

function sharesBy(
  slots: readonly ObjectiveSlot[],
  nameOf: (count: BurnSlot['counts'][number]) => string,
): readonly BurnShare[] {
  const shares = new Map<string, number>();
  for (const count of slots.flatMap((slot) => slot.counts)) {
    if (!NOT_BAD.has(count.cause)) {
      const name = nameOf(count) === '' ? '(none)' : nameOf(count);
      shares.set(name, (shares.get(name) ?? 0) + count.count);
    }
  }
  return [...shares]
    .map(([name, count]) => ({ name, count }))
    .sort((a, b) => b.count - a.count || (a.name < b.name ? -1 : 1))
    .slice(0, MAX_SHARES);
}

function summarize(histograms: readonly BurnHistogram[]): MeasureSummary {
  const sum = build({ numberOfSignificantValueDigits: 2 });
  histograms.forEach(({ encoded }) => sum.add(decodeFromCompressedBase64(encoded)));
  const at = (percent: number): Milliseconds =>
    sum.totalCount === 0 ? 0 : sum.getValueAtPercentile(percent) / UNITS_PER_MS;
  return { count: sum.totalCount, p50: at(50), p95: at(95), p99: at(99) };
}

function summarizeMeasures(slots: readonly ObjectiveSlot[]): ObjectiveBurn['measures'] {
  const histograms = slots.flatMap((slot) => slot.histograms);
  const measures = [...new Set(histograms.map((each) => each.measure))];
  return Object.fromEntries(
    measures.map((measure) => [
      measure,
      summarize(histograms.filter((each) => each.measure === measure)),
    ]),
  );
}

function slotsOf(snapshots: readonly BurnSnapshot[], objective: string): readonly ObjectiveSlot[] {
  return snapshots
    .flatMap((snapshot) => snapshot.slots)
    .filter((slot) => slot.endedAgeMs < LONGEST_WINDOW_MS)
    .map((slot) => ({
      ...slot,
      counts: slot.counts.filter((count) => count.objective === objective),
      histograms: slot.histograms.filter((histogram) => histogram.objective === objective),
    }));
}

function courseOf(slots: readonly ObjectiveSlot[], target: number): readonly number[] {
  const stepMs = LONGEST_WINDOW_MS / COURSE_STEPS;
  return Array.from({ length: COURSE_STEPS }, (_, index) => {
    const fromAgeMs = LONGEST_WINDOW_MS - index * stepMs;
    return burnRateOf(countBetween(slots, fromAgeMs, fromAgeMs - stepMs), target);
  });
}

function reportObjective(
  snapshots: readonly BurnSnapshot[],
  objective: BurnSnapshot['objectives'][number],
): ObjectiveBurn {
  const { target } = objective;
  const slots = slotsOf(snapshots, objective.name);
  const { total, bad } = countBetween(slots, LONGEST_WINDOW_MS, 0);
  const allowed = round((1 - target) * total);
  return {
    ...objective,
    total,
    bad,
    allowed,
    budgetLeft: total === 0 ? 1 : round(Math.max(0, 1 - ratio(bad, Math.max(allowed, 1e-9)))),
    overspent: round(Math.max(0, bad - allowed)),
    windows: WINDOW_PAIRS.map((pair) => {
      const long = windowBurn(slots, pair.longMs, target);
      const short = windowBurn(slots, pair.shortMs, target);
      const alarm = long.burnRate >= pair.alarmRate && short.burnRate >= pair.alarmRate;
      return { long, short, alarm };
    }),
    byCause: sharesBy(slots, (count) => count.cause),
    byAdapter: sharesBy(slots, (count) => count.adapter),
    byAvailabilityZone: sharesBy(slots, (count) => count.availabilityZone),
    measures: summarizeMeasures(slots),
    course: courseOf(slots, target),
  };
}

function coverageOf(snapshot: BurnSnapshot): Coverage {
  const lengths = WINDOW_PAIRS.flatMap((pair) => [pair.shortMs, pair.longMs]);
  return {
    host: snapshot.host,
    incarnation: snapshot.incarnation,
    windows: lengths.map((windowMs) => ({
      windowMs,
      coveredShare: round(Math.min(1, snapshot.coveredMs / windowMs)),
    })),
  };
}

function findMissing(snapshots: readonly BurnSnapshot[]): readonly MissingIncarnation[] {
  const present = new Set(snapshots.map((snapshot) => snapshot.incarnation));
  const missing = new Map<string, MissingIncarnation>();
  for (const met of snapshots.flatMap((snapshot) => snapshot.met)) {
    const known = missing.get(met.incarnation);
    const isNewer = known === undefined || met.ageMs < known.ageMs;
    if (!present.has(met.incarnation) && met.ageMs < LONGEST_WINDOW_MS && isNewer) {
      missing.set(met.incarnation, met);
    }
  }
  return [...missing.values()].sort((a, b) => a.ageMs - b.ageMs);
}

/** Keeps one snapshot per incarnation, so that a process that was read twice counts once. */
function distinctIncarnations(snapshots: readonly BurnSnapshot[]): readonly BurnSnapshot[] {
  return [...new Map(snapshots.map((each) => [each.incarnation, each])).values()];
}

/**
 * Merges the snapshots of several processes into one report.
 *
 * @param snapshots Snapshots taken at about the same time.
 */
export function reportBurn(snapshots: readonly BurnSnapshot[]): BurnReport {
  const each = distinctIncarnations(snapshots);
  const objectives = new Map(
    each.flatMap((snapshot) => snapshot.objectives).map((one) => [one.name, one]),
  );
  const burns = [...objectives.values()].map((objective) => reportObjective(each, objective));
  const tenants = [...new Set(burns.map((burn) => burn.tenant))];
  return {
    objectives: burns.sort((a, b) => (a.name < b.name ? -1 : 1)),
    byTenant: tenants
      .map((name) => ({
        name,
        count: burns
          .filter((burn) => burn.tenant === name)
          .reduce((most, burn) => Math.max(most, burn.bad), 0),
      }))
      .sort((a, b) => b.count - a.count),
    coverage: each.filter((snapshot) => snapshot.objectives.length > 0).map(coverageOf),
    missing: findMissing(each),
  };
}
