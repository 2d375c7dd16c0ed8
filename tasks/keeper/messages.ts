import * as z from 'zod/mini';
import { decodeChecked, encodeMessagePack } from '../_decodeChecked.ts';

const countSchema = z.number().check(z.nonnegative());

const holdingSchema = z.object({ name: z.string(), version: z.number() });

const baseModelSchema = z.object({
  name: z.string(),
  weightsMb: countSchema,
  adapterMb: countSchema,
});

const engineSchema = z.object({
  batchWidth: countSchema,
  adapterPlaces: countSchema,
  weightsMb: countSchema,
  loadsPerSecond: countSchema,
  models: z.readonly(z.array(baseModelSchema)),
});

/** Begins a link, and is sent again when the engine or its record changes. */
const helloSchema = z.object({
  kind: z.literal('hello'),
  entry: z.string(),
  engine: engineSchema,
  serverId: z.string(),
  bornAt: z.number(),
  // The highest fencing token that the entry has heard of for this engine.
  fencingToken: countSchema,
});

/** A request waits for an adapter. */
const wantSchema = z.object({
  kind: z.literal('want'),
  name: z.string(),
  version: countSchema,
  waitMs: z.number(),
});

/** How many of the entry's requests use an adapter now. */
const useSchema = z.object({ kind: z.literal('use'), name: z.string(), count: countSchema });

const entryMessageSchema = z.discriminatedUnion('kind', [helloSchema, wantSchema, useSchema]);

const keeperMessageSchema = z.object({
  kind: z.literal('state'),
  // Absent when the same as in the message before.
  holdings: z.optional(z.readonly(z.array(holdingSchema))),
  // Requests that the engine runs, and those that wait in it.
  running: countSchema,
  queued: countSchema,
  // Places for adapters that are empty or could be emptied at once.
  freeablePlaces: z.number(),
  // Adapters that the keeper has been asked for and has not yet.
  awaited: countSchema,
  fencingToken: countSchema,
});

/** What an entry tells the keeper of an engine. */
export type EntryMessage = Readonly<z.infer<typeof entryMessageSchema>>;

/** What a keeper tells an entry. */
export type KeeperMessage = Readonly<z.infer<typeof keeperMessageSchema>>;

/** Encodes a message of a keeper's link. */
export function encodeMessage(message: EntryMessage | KeeperMessage): Uint8Array {
  return encodeMessagePack(message);
}

/** Decodes what an entry sent; `undefined` when the bytes are no message of an entry. */
export function decodeEntryMessage(bytes: Uint8Array): EntryMessage | undefined {
  return decodeChecked(entryMessageSchema, bytes);
}

/** Decodes what a keeper sent; `undefined` when the bytes are no message of a keeper. */
export function decodeKeeperMessage(bytes: Uint8Array): KeeperMessage | undefined {
  return decodeChecked(keeperMessageSchema, bytes);
}
