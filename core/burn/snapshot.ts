import { z } from 'zod';
import { CAUSES } from './sample.ts';

/** Version of the snapshot format. */
export const SNAPSHOT_VERSION = 1;

const MAX_SLOTS = 1000;
const MAX_ITEMS = 1000;

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
  /** Time since the slot began. */
  beganAgeMs: age,
  /** Time since the slot ended; 0 while it is current. */
  endedAgeMs: age,
  counts: z.array(countSchema).max(MAX_ITEMS),
  histograms: z.array(histogramSchema).max(MAX_ITEMS),
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
  /** Time since the process started. */
  coveredMs: age,
  objectives: z.array(objectiveSchema).max(MAX_ITEMS),
  slots: z.array(slotSchema).max(MAX_SLOTS),
  /** Incarnations of entries that the process had contact with. */
  met: z.array(z.object({ host: name, incarnation: name, ageMs: age })).max(MAX_ITEMS),
});

/** Number of requests with the same objective, cause, adapter and availability zone. */
export type BurnCount = Readonly<z.output<typeof countSchema>>;

/** An encoded HDR histogram of one measure. */
export type BurnHistogram = Readonly<z.output<typeof histogramSchema>>;

/** Counts and histograms of one time slot. */
export type BurnSlot = Readonly<z.output<typeof slotSchema>>;

/** All slots of one process; times are ages, so that processes need no common clock. */
export type BurnSnapshot = Readonly<z.output<typeof snapshotSchema>>;

/**
 * Validates a snapshot from another process.
 *
 * @returns The snapshot, or `undefined` when the value is not valid.
 */
export function readBurnSnapshot(value: unknown): BurnSnapshot | undefined {
  const result = snapshotSchema.safeParse(value);
  return result.success ? result.data : undefined;
}
