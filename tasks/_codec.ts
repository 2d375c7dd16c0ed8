import { Packr } from 'msgpackr';
import type { Envelope, LinkFrame, Role } from '../core/link/mod.ts';
import { FRAME_CHECKS } from './_frameChecks.ts';

const packr = new Packr({ useRecords: false, variableMapSize: true });

/** Encodes a frame as MessagePack. */
export function encodeEnvelope(envelope: Envelope): Uint8Array {
  return packr.pack(envelope);
}

/**
 * Decodes a frame from MessagePack and validates the fields of its kind.
 *
 * @param bytes The received message.
 * @param sender The side of the link that sent it.
 * @returns The frame, or `undefined` when the bytes are not a valid frame from that side.
 */
export function decodeEnvelope<F extends LinkFrame>(
  bytes: Uint8Array,
  sender: Role,
): Envelope<F> | undefined {
  try {
    const value = packr.unpack(bytes) as Partial<Envelope<F>> | null;
    if (typeof value !== 'object' || value === null) return undefined;
    const isNumbered = Number.isSafeInteger(value.sequence) && value.sequence! >= 0;
    if (!isNumbered || !FRAME_CHECKS[sender](value.frame)) return undefined;
    return value as Envelope<F>;
  } catch {
    return undefined;
  }
}
