import { constants, deflateRawSync, inflateRawSync } from 'node:zlib';
import type { MirroredRecord } from '../../core/mirror/mod.ts';

/** A record as entries send it to each other: with its value, deflated or not, or with neither if it was removed. */
export type SentRecord = MirroredRecord & { readonly deflated?: Uint8Array | undefined };

/** Size of a value from which it is deflated. */
const MIN_DEFLATED_BYTES = 4096;

/** Size limit of an inflated value. */
const MAX_INFLATED_BYTES = 16_777_216;

/** Deflated forms of values, so that a value is deflated once however many entries it is sent to. */
const deflatedForms = new WeakMap<Uint8Array, Uint8Array>();

function deflate(value: Uint8Array): Uint8Array {
  const known = deflatedForms.get(value);
  if (known !== undefined) return known;
  const deflated = deflateRawSync(value, { level: constants.Z_BEST_SPEED });
  deflatedForms.set(value, deflated);
  return deflated;
}

/** Returns a record with its value deflated if it is large. */
export function deflateRecord(record: MirroredRecord): SentRecord {
  const { key, value, revision } = record;
  if (value === undefined || value.length < MIN_DEFLATED_BYTES) return record;
  return { key, revision, deflated: deflate(value) };
}

/**
 * Returns a record with its value.
 *
 * @throws {Error} When the deflated value is invalid or too large.
 */
export function inflateRecord({ deflated, ...record }: SentRecord): MirroredRecord {
  if (deflated === undefined) return record;
  const value = inflateRawSync(deflated, { maxOutputLength: MAX_INFLATED_BYTES });
  deflatedForms.set(value, deflated);
  return { ...record, value };
}
