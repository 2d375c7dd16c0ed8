import { z } from 'zod';
import { CAUSES } from './sample.ts';

/** The version of the snapshot's form. */
export const SNAPSHOT_VERSION = 1;

const MOST_SLOTS = 1000;
const MOST_COUNTS = 1000;

const age = z.number().min(0);
const name = z.string().max(300);

const countSchema = z.object({
  objective: name,
  cause: z.enum(CAUSES),
  adapter: name,
  availabilityZone: name,
  count: z.number().int().min(0),
});

const histogramSchema = z.object({
  objective: name,
  measure: z.enum(['firstToken', 'loadStall', 'betweenTokens']),
  encoded: z.string().max(100_000),
});

const slotSchema = z.object({
  /** Time since the slot began and, unless it is the last one, ended. */
  beganAgeMs: age,
  endedAgeMs: age,
  counts: z.array(countSchema).max(MOST_COUNTS),
  histograms: z.array(histogramSchema).max(MOST_COUNTS),
});

const objectiveSchema = z.object({
  name,
  tenant: name,
  target: z.number().min(0).max(1),
  firstTokenMs: z.number(),
});

const snapshotSchema = z.object({
  version: z.literal(SNAPSHOT_VERSION),
  host: name,
  incarnation: name,
  /** Time that the process has seen. */
  coveredMs: age,
  objectives: z.array(objectiveSchema).max(MOST_COUNTS),
  slots: z.array(slotSchema).max(MOST_SLOTS),
  /** Incarnations of entries that the process has met. */
  met: z.array(z.object({ host: name, incarnation: name, ageMs: age })).max(MOST_COUNTS),
});

/** Requests that count alike. */
export type BurnCount = Readonly<z.output<typeof countSchema>>;

/** One encoded HDR histogram. */
export type BurnHistogram = Readonly<z.output<typeof histogramSchema>>;

/** What happened in one short window. */
export type BurnSlot = Readonly<z.output<typeof slotSchema>>;

/** What one process knows; all times are ages, so that clocks need not agree. */
export type BurnSnapshot = Readonly<z.output<typeof snapshotSchema>>;

/**
 * Reads a snapshot that came from another process.
 *
 * @returns The snapshot, or `undefined` when the value is not one.
 */
export function readBurnSnapshot(value: unknown): BurnSnapshot | undefined {
  const result = snapshotSchema.safeParse(value);
  return result.success ? result.data : undefined;
}
