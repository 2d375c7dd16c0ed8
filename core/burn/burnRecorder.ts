import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Milliseconds } from '../clock/mod.ts';
import type { Identity } from '../link/mod.ts';
import type { Objective } from '../set/mod.ts';
import { causeOf } from './sample.ts';
import type { RequestSample } from './sample.ts';
import { SNAPSHOT_VERSION } from './snapshot.ts';
import type { BurnCount, BurnHistogram, BurnSlot, BurnSnapshot } from './snapshot.ts';

/** Options of a `BurnRecorder`. */
export type BurnRecorderOptions = {
  readonly identity: Identity;
  /** Time at which the process started. */
  readonly startedAt: Milliseconds;
  /** Length of a slot. @default 60000 */
  readonly slotMs?: Milliseconds;
  /** Number of slots that are kept. @default 360 */
  readonly slots?: number;
  /** Distinct counts per slot; more are counted under `OVERFLOW_LABEL`. @default 256 */
  readonly countsPerSlot?: number;
};

/** Adapter and availability zone of bad requests beyond the limit of distinct counts per slot. */
export const OVERFLOW_LABEL = '(others)';

type Count = { -readonly [K in keyof BurnCount]: BurnCount[K] };

type Measure = BurnHistogram['measure'];

type Slot = {
  readonly beganAt: Milliseconds;
  readonly counts: Map<string, Count>;
  readonly histograms: Map<string, Histogram>;
  /** Set when a later slot begins. */
  encoded: readonly BurnHistogram[] | undefined;
};

const MEASURES = [
  ['firstToken', 'firstTokenMs'],
  ['loadStall', 'loadStallMs'],
  ['betweenTokens', 'betweenTokensMs'],
] as const;

/** Histogram units per millisecond. */
export const UNITS_PER_MS = 10;

/** Times above this are recorded as this. */
const MAX_RECORDED_MS = 3_600_000;

function createHistogram(): Histogram {
  return build({ bitBucketSize: 'packed', autoResize: true, numberOfSignificantValueDigits: 2 });
}

function recordTime(slot: Slot, key: string, value: Milliseconds): void {
  const histogram = slot.histograms.get(key) ?? createHistogram();
  slot.histograms.set(key, histogram);
  const bounded = Math.min(MAX_RECORDED_MS, Math.max(0, value));
  histogram.recordValue(Math.round(bounded * UNITS_PER_MS));
}

function encodeSlot(slot: Slot): readonly BurnHistogram[] {
  return [...slot.histograms].map(([key, histogram]) => {
    const space = key.indexOf(' ');
    return {
      measure: key.slice(0, space) as Measure,
      objective: key.slice(space + 1),
      encoded: encodeIntoCompressedBase64(histogram),
    };
  });
}

/** Counts requests against the objectives of their tenants in fixed-length time slots. */
export class BurnRecorder {
  readonly #options: Required<BurnRecorderOptions>;

  /** Oldest first. */
  #slots: Slot[] = [];

  #objectives: readonly Objective[] = [];

  #latest: Milliseconds;

  constructor(options: BurnRecorderOptions) {
    this.#options = { slotMs: 60_000, slots: 360, countsPerSlot: 256, ...options };
    this.#latest = options.startedAt;
  }

  /** Applies the objectives of the active set. */
  applyObjectives(objectives: readonly Objective[]): void {
    this.#objectives = objectives;
  }

  /** Counts one request. */
  record(sample: RequestSample, now: Milliseconds): void {
    const slot = this.#slotAt(now);
    for (const objective of this.#objectives) {
      if (objective.tenant === sample.tenant) this.#count(slot, objective, sample);
    }
  }

  /**
   * Returns a snapshot of all slots.
   *
   * @param now The time on this process's clock.
   * @param met Incarnations of other processes that this one had contact with.
   */
  snapshot(now: Milliseconds, met: BurnSnapshot['met'] = []): BurnSnapshot {
    const { identity, startedAt } = this.#options;
    const at = this.#monotonicTime(now);
    this.#removeOldSlots(at);
    return {
      version: SNAPSHOT_VERSION,
      host: identity.host,
      incarnation: identity.incarnation,
      coveredMs: at - startedAt,
      objectives: this.#objectives.map(({ name, tenant, target, firstTokenMs }) => ({
        name,
        tenant,
        target,
        firstTokenMs,
      })),
      slots: this.#slots.map((slot) => this.#toBurnSlot(slot, at)),
      met: [...met],
    };
  }

  #toBurnSlot(slot: Slot, now: Milliseconds): BurnSlot {
    return {
      beganAgeMs: now - slot.beganAt,
      endedAgeMs: Math.max(0, now - slot.beganAt - this.#options.slotMs),
      counts: [...slot.counts.values()].map((count) => ({ ...count })),
      histograms: [...(slot.encoded ?? encodeSlot(slot))],
    };
  }

  /** Returns the latest time seen, so that time does not go back when the clock does. */
  #monotonicTime(now: Milliseconds): Milliseconds {
    this.#latest = Math.max(this.#latest, now);
    return this.#latest;
  }

  #slotAt(now: Milliseconds): Slot {
    const at = this.#monotonicTime(now);
    const { slotMs, startedAt } = this.#options;
    const beganAt = startedAt + Math.floor((at - startedAt) / slotMs) * slotMs;
    const last = this.#slots.at(-1);
    if (last !== undefined && last.beganAt === beganAt) return last;
    if (last !== undefined) {
      last.encoded = encodeSlot(last);
      last.histograms.clear();
    }
    const slot: Slot = { beganAt, counts: new Map(), histograms: new Map(), encoded: undefined };
    this.#slots.push(slot);
    this.#removeOldSlots(at);
    return slot;
  }

  #removeOldSlots(now: Milliseconds): void {
    const { slots, slotMs } = this.#options;
    this.#slots = this.#slots.filter((slot) => now - slot.beganAt < slots * slotMs);
  }

  #count(slot: Slot, objective: Objective, sample: RequestSample): void {
    const cause = causeOf(sample, objective.firstTokenMs);
    const spendsBudget = cause !== 'good' && cause !== 'caller';
    const adapter = spendsBudget ? sample.adapter : '';
    const availabilityZone = spendsBudget ? sample.availabilityZone : '';
    const fields = { objective: objective.name, cause, adapter, availabilityZone };
    this.#findOrCreateCount(slot, fields).count += 1;
    for (const [measure, field] of MEASURES) {
      const value = sample[field];
      if (value !== undefined) recordTime(slot, `${measure} ${objective.name}`, value);
    }
  }

  #findOrCreateCount(slot: Slot, fields: Omit<BurnCount, 'count'>): Count {
    const { objective, cause, adapter, availabilityZone } = fields;
    const key = [objective, cause, adapter, availabilityZone].join(' ');
    const known = slot.counts.get(key);
    if (known !== undefined) return known;
    const isFull = slot.counts.size >= this.#options.countsPerSlot;
    if (isFull && adapter !== OVERFLOW_LABEL && adapter !== '') {
      return this.#findOrCreateCount(slot, {
        ...fields,
        adapter: OVERFLOW_LABEL,
        availabilityZone: OVERFLOW_LABEL,
      });
    }
    const count = { ...fields, count: 0 };
    slot.counts.set(key, count);
    return count;
  }
}
