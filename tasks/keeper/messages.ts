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

/** First message of a link; sent again when the engine or its settings change. */
const helloSchema = z.object({
  kind: z.literal('hello'),
  entry: z.string(),
  engine: engineSchema,
  serverId: z.string(),
  bornAt: z.number(),
  // Highest fencing token that the gateway has received for this engine.
  fencingToken: countSchema,
});

/** Asks for an adapter that a request waits for. */
const wantSchema = z.object({
  kind: z.literal('want'),
  name: z.string(),
  version: countSchema,
  waitMs: z.number(),
});

/** Reports how many of the gateway's requests currently use an adapter. */
const useSchema = z.object({ kind: z.literal('use'), name: z.string(), count: countSchema });

const gatewayMessageSchema = z.discriminatedUnion('kind', [helloSchema, wantSchema, useSchema]);

const keeperMessageSchema = z.object({
  kind: z.literal('state'),
  // Absent if unchanged since the previous message.
  holdings: z.optional(z.readonly(z.array(holdingSchema))),
  // Requests that the engine runs, and requests in its queue.
  running: countSchema,
  queued: countSchema,
  // Adapter slots that are empty or could be freed at once.
  freeablePlaces: z.number(),
  // Adapters requested from the keeper and not loaded yet.
  awaited: countSchema,
  fencingToken: countSchema,
});

/** A message from a gateway to a keeper. */
export type GatewayMessage = Readonly<z.infer<typeof gatewayMessageSchema>>;

/** A message from a keeper to a gateway. */
export type KeeperMessage = Readonly<z.infer<typeof keeperMessageSchema>>;

/** Encodes a message between a keeper and a gateway. */
export function encodeMessage(message: GatewayMessage | KeeperMessage): Uint8Array {
  return encodeMessagePack(message);
}

/** Decodes a gateway's message; returns `undefined` for invalid bytes. */
export function decodeGatewayMessage(bytes: Uint8Array): GatewayMessage | undefined {
  return decodeChecked(gatewayMessageSchema, bytes);
}

/** Decodes a keeper's message; returns `undefined` for invalid bytes. */
export function decodeKeeperMessage(bytes: Uint8Array): KeeperMessage | undefined {
  return decodeChecked(keeperMessageSchema, bytes);
}
