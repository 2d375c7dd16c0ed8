import { Packr } from 'msgpackr';

const packr = new Packr({ useRecords: false });

/** What checks a decoded value, such as a schema. */
export type Check<T> = {
  readonly safeParse: (value: unknown) => { readonly data?: T | undefined };
};

/** Writes a message as MessagePack. */
export function encodeMessagePack(message: unknown): Uint8Array {
  return packr.pack(message);
}

/** Reads a message from MessagePack and checks it; `undefined` when the bytes are no such message. */
export function decodeChecked<T>(check: Check<T>, bytes: Uint8Array): T | undefined {
  try {
    return check.safeParse(packr.unpack(bytes)).data;
  } catch {
    // Bytes that are no MessagePack are as unreadable as a wrong message, and end as one.
    return undefined;
  }
}
