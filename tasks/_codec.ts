import { Packr } from 'msgpackr';
import type { Envelope, LinkFrame } from '../core/link/mod.ts';

const packr = new Packr({ useRecords: false, variableMapSize: true });

/** Writes a frame as MessagePack. */
export function encodeEnvelope(envelope: Envelope): Uint8Array {
  return packr.pack(envelope);
}

/**
 * Reads a frame from MessagePack.
 *
 * @returns The frame, or `undefined` when the bytes are not one.
 */
export function decodeEnvelope<F extends LinkFrame>(bytes: Uint8Array): Envelope<F> | undefined {
  try {
    const value = packr.unpack(bytes) as Partial<Envelope<F>> | null;
    if (typeof value !== 'object' || value === null) return undefined;
    if (typeof value.sequence !== 'number' || typeof value.frame?.kind !== 'string') {
      return undefined;
    }
    return value as Envelope<F>;
  } catch {
    return undefined;
  }
}
