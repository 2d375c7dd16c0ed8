import * as z from 'zod/mini';
import { decodeChecked, encodeMessagePack } from '../_decodeChecked.ts';

const recordSchema = z.object({
  key: z.string(),
  // Absent where the record was removed.
  value: z.optional(z.custom<Uint8Array>((value) => value instanceof Uint8Array)),
  revision: z.number(),
});

const revisionSchema = z.optional(z.number());

const newsSchema = z.object({
  since: revisionSchema,
  records: z.readonly(z.array(recordSchema)),
  asOf: z.number(),
});

const digestSchema = z.object({
  kind: z.literal('digest'),
  address: z.string(),
  // Mean time in milliseconds by which the sender is behind its timers.
  lagMs: z.number(),
  // Known entries and the time in milliseconds since each was heard of.
  members: z.readonly(z.array(z.readonly(z.tuple([z.string(), z.number()])))),
  // Revisions of the copies, by prefix.
  asOf: z.record(z.string(), revisionSchema),
});

const peerMessageSchema = z.discriminatedUnion('kind', [
  digestSchema,
  z.object({ kind: z.literal('news'), prefix: z.string(), news: newsSchema }),
]);

/** What entries say to each other. */
export type PeerMessage = Readonly<z.infer<typeof peerMessageSchema>>;

/** Encodes a message between entries. */
export function encodePeerMessage(message: PeerMessage): Uint8Array {
  return encodeMessagePack(message);
}

/** Decodes a message between entries; `undefined` when the bytes are none. */
export function decodePeerMessage(bytes: Uint8Array): PeerMessage | undefined {
  return decodeChecked(peerMessageSchema, bytes);
}
