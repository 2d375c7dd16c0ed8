import * as z from 'zod/mini';
import { decodeChecked, encodeMessagePack } from '../_decodeChecked.ts';
import { factCopySchema } from '../_factMessages.ts';
import { originAnswerSchema, originQuerySchema, streamOriginsSchema } from '../_originMessages.ts';

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

/** First message of a link; sent again when the engine or its settings change. */
const helloSchema = z.object({
  kind: z.literal('hello'),
  entry: z.string(),
  engine: engineSchema,
  serverId: z.string(),
  bornAt: z.number(),
  // Highest fencing token that the entry has received for this engine.
  fencingToken: countSchema,
});

/** Requests the load of an adapter that a caller's request waits for, for `waitMs` at most. */
const wantSchema = z.object({
  kind: z.literal('want'),
  name: z.string(),
  version: countSchema,
  waitMs: z.number(),
});

/** Reports how many of the entry's requests currently use an adapter. */
const useSchema = z.object({ kind: z.literal('use'), name: z.string(), count: countSchema });

/**
 * Reports what the entry has sent to the engine and is not done; sent only by entries that choose servers
 * by room, and at least as often as heartbeats.
 */
const workSchema = z.object({
  kind: z.literal('work'),
  requests: countSchema,
  promptTokens: countSchema,
  outputTokens: countSchema,
  prefilledTokens: countSchema,
});

const entryMessageSchema = z.discriminatedUnion('kind', [
  helloSchema,
  wantSchema,
  useSchema,
  workSchema,
  streamOriginsSchema,
  originQuerySchema,
  factCopySchema,
]);

const stateSchema = z.object({
  kind: z.literal('state'),
  // Absent if unchanged since the previous message.
  holdings: z.optional(z.readonly(z.array(holdingSchema))),
  // Requests that the engine runs, and requests in its queue.
  running: countSchema,
  queued: countSchema,
  // Adapter slots that are empty or can be freed immediately.
  freeablePlaces: z.number(),
  // Adapters requested from the keeper and not loaded yet.
  awaited: countSchema,
  fencingToken: countSchema,
});

/** Tells an entry that reports its work what the engine has taken on; sent several times a second. */
const roomSchema = z.object({
  kind: z.literal('room'),
  // Requests that the engine runs, and requests in its queue.
  running: countSchema,
  queued: countSchema,
  // Tokens in the engine's memory that cannot be reclaimed, and tokens that fit in it.
  used: countSchema,
  memory: countSchema,
  // Work of the other entries: requests, prompt tokens to be prefilled and output tokens expected.
  others: z.tuple([countSchema, countSchema, countSchema]),
  // Prompt tokens prefilled in a millisecond; absent before the first measurement.
  speed: z.optional(countSchema),
});

const keeperMessageSchema = z.discriminatedUnion('kind', [
  stateSchema,
  roomSchema,
  originAnswerSchema,
  factCopySchema,
]);

/** A message from an entry to a keeper. */
export type EntryMessage = Readonly<z.infer<typeof entryMessageSchema>>;

/** A message from a keeper to an entry. */
export type KeeperMessage = Readonly<z.infer<typeof keeperMessageSchema>>;

/** Encodes a message between a keeper and an entry. */
export function encodeMessage(message: EntryMessage | KeeperMessage): Uint8Array {
  return encodeMessagePack(message);
}

/** Decodes an entry's message; returns `undefined` for invalid bytes. */
export function decodeEntryMessage(bytes: Uint8Array): EntryMessage | undefined {
  return decodeChecked(entryMessageSchema, bytes);
}

/** Decodes a keeper's message; returns `undefined` for invalid bytes. */
export function decodeKeeperMessage(bytes: Uint8Array): KeeperMessage | undefined {
  return decodeChecked(keeperMessageSchema, bytes);
}
