import { Packr } from 'msgpackr';

const packr = new Packr({ useRecords: false });

/** A schema that validates decoded values, such as one of Zod. */
export type Schema<T> = {
  readonly safeParse: (value: unknown) => { readonly data?: T | undefined };
};

/** Encodes a message as MessagePack. */
export function encodeMessagePack(message: unknown): Uint8Array {
  return packr.pack(message);
}

/** Decodes and validates a MessagePack message; returns `undefined` when it is invalid. */
export function decodeChecked<T>(schema: Schema<T>, bytes: Uint8Array): T | undefined {
  try {
    return schema.safeParse(packr.unpack(bytes)).data;
  } catch {
    // Malformed MessagePack is reported like a message that fails validation.
    return undefined;
  }
}
