import * as z from 'zod/mini';
import type { Milliseconds } from '../../core/clock/mod.ts';
import { decodeChecked, encodeMessagePack } from '../_decodeChecked.ts';
import { countSchema, factSchemas, limitSchema } from '../_factMessages.ts';
import { originAnswerSchema, originQuerySchema, streamOriginsSchema } from '../_originMessages.ts';

/** Longest wait for a permit that an entry may ask for. */
const MAX_PERMIT_WAIT_MS: Milliseconds = 60_000;

// Neither negative nor infinite, which would issue tokens without end.
const tokensSchema = z.number().check(z.nonnegative(), z.maximum(Number.MAX_SAFE_INTEGER));

const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

const recordSchema = z.object({
  key: z.string(),
  // Absent if the record was removed.
  value: z.optional(bytesSchema),
  // In the place of a large value, if the receiver accepts it.
  deflated: z.optional(bytesSchema),
  revision: z.number(),
});

const revisionSchema = z.optional(z.number());

const updateSchema = z.object({
  since: revisionSchema,
  records: z.readonly(z.array(recordSchema)),
  asOf: z.number(),
});

/** A request for a permit to send a server with a limit one request. */
const permitRequestSchema = z.object({
  kind: z.literal('permit-request'),
  // Address of the sender among the entries.
  from: z.string(),
  request: z.object({
    number: countSchema,
    server: z.string(),
    priority: z.number(),
    maxWaitMs: z.number().check(z.nonnegative(), z.maximum(MAX_PERMIT_WAIT_MS)),
  }),
  // What the sender knows of the limit, which the receiver may not have heard of.
  limit: z.optional(limitSchema),
});

const permitAnswerSchema = z.object({
  kind: z.literal('permit-answer'),
  answer: z.object({
    number: countSchema,
    server: z.string(),
    kind: z.enum(['granted', 'queued', 'denied']),
    waitMs: z.number().check(z.nonnegative()),
  }),
});

/**
 * A request for a lease on the tokens of a tenant: number, tenant, tokens wanted, tokens needed, weight, tokens
 * returned, tokens refunded. Messages are short, since there are many.
 */
const leaseRequestSchema = z.object({
  kind: z.literal('lease-request'),
  // Address of the sender among the entries.
  from: z.string(),
  lease: z.readonly(
    z.tuple([
      countSchema,
      z.string(),
      tokensSchema,
      tokensSchema,
      tokensSchema,
      tokensSchema,
      tokensSchema,
    ]),
  ),
});

/** The answer: number, tenant, whether tokens are issued here, tokens, whether they are short, wait. */
const leaseAnswerSchema = z.object({
  kind: z.literal('lease-answer'),
  lease: z.readonly(
    z.tuple([countSchema, z.string(), z.boolean(), tokensSchema, z.boolean(), tokensSchema]),
  ),
});

/** Longest request id that entries tell each other. */
const MAX_REQUEST_ID_LENGTH = 200;

const streamKeySchema = {
  service: z.string(),
  requestId: z.string().check(z.maxLength(MAX_REQUEST_ID_LENGTH)),
};

/**
 * Where streams began, as older builds tell it; an empty list asks for an acknowledgement, which shows that the
 * link is alive.
 */
const originsSchema = z.object({
  kind: z.literal('origins'),
  origins: z.readonly(
    z.array(z.object({ ...streamKeySchema, version: z.string(), beganBy: z.string() })),
  ),
});

const originsReceivedSchema = z.object({ kind: z.literal('origins-received') });

const proofSchema = z.object({
  number: countSchema,
  prefixes: z.record(
    z.string(),
    z.object({ ageMs: z.number().check(z.nonnegative()), asOf: z.number() }),
  ),
});

/** What a store reader says of itself, passed on through its availability zone. */
const readerSchema = z.object({
  reader: z.string(),
  number: countSchema,
  isReading: z.boolean(),
});

const revisionsSchema = z.record(z.string(), revisionSchema);

/** Tells neighbours at once that the mirrors of the sender have changed, or what a store reader says. */
const toldSchema = z.object({
  kind: z.literal('told'),
  from: z.string(),
  asOf: revisionsSchema,
  reader: z.optional(readerSchema),
});

const digestSchema = z.object({
  kind: z.literal('digest'),
  address: z.string(),
  // Mean event-loop lag of the sender in milliseconds.
  lagMs: z.number(),
  // Addresses of known entries, each with the milliseconds since it was last seen.
  members: z.readonly(z.array(z.readonly(z.tuple([z.string(), z.number()])))),
  // Capacity of the sender and of its members in their order, in hundredths of a processor core; 0 if unknown.
  capacities: z.optional(z.readonly(z.array(countSchema))),
  // Revisions of the sender's mirrors, by key prefix.
  asOf: revisionsSchema,
  // Whether the sender accepts deflated values of records; absent from older builds.
  inflates: z.optional(z.boolean()),
  // Availability zone of the sender; this and the next three are absent from older builds, and from entries
  // that all read the store.
  zone: z.optional(z.string()),
  // Availability zones of the first of the members, each with the number of members in a row.
  zones: z.optional(z.readonly(z.array(z.readonly(z.tuple([z.string(), countSchema]))))),
  // A number to be returned with a proof of freshness.
  probe: z.optional(countSchema),
  // The proof for the number in the digest to which this one replies.
  proof: z.optional(proofSchema),
  // What the sender learned since its last digest on this connection; kinds are absent from older builds.
  ...factSchemas,
});

/** Records that the receiver lacks. */
const newsSchema = z.object({
  kind: z.literal('news'),
  prefix: z.string(),
  news: updateSchema,
  // Time left within which removed records may return, since the store had an outage.
  removalGraceMs: z.optional(z.number().check(z.nonnegative())),
});

/** Asks for the changes after the revisions of the sender. */
const wantSchema = z.object({
  kind: z.literal('want'),
  asOf: revisionsSchema,
  inflates: z.optional(z.boolean()),
});

const peerMessageSchema = z.discriminatedUnion('kind', [
  digestSchema,
  newsSchema,
  toldSchema,
  wantSchema,
  z.object({ kind: z.literal('proof'), proof: proofSchema }),
  permitRequestSchema,
  permitAnswerSchema,
  leaseRequestSchema,
  leaseAnswerSchema,
  streamOriginsSchema,
  originsSchema,
  originsReceivedSchema,
  originQuerySchema,
  originAnswerSchema,
]);

/** A gossip message between entries. */
export type PeerMessage = Readonly<z.infer<typeof peerMessageSchema>>;

/** A digest of what an entry knows. */
export type DigestMessage = Extract<PeerMessage, { readonly kind: 'digest' }>;

/** Records that the receiver lacks. */
export type NewsMessage = Extract<PeerMessage, { readonly kind: 'news' }>;

/** Revisions of the mirrors of an entry, by key prefix. */
export type Revisions = DigestMessage['asOf'];

/** What an entry tells its neighbours of its mirrors and of a store reader. */
export type ToldMessage = Extract<PeerMessage, { readonly kind: 'told' }>;

/** A proof of freshness for a number that was sent. */
export type ProofMessage = Extract<PeerMessage, { readonly kind: 'proof' }>;

/** What an entry tells or asks another of the origins of streams. */
export type OriginMessage = Extract<
  PeerMessage,
  { readonly kind: 'stream-origins' | 'origins' | 'origin-query' }
>;

/** A request for a permit, as it arrives from another entry. */
export type PermitRequestMessage = Extract<PeerMessage, { readonly kind: 'permit-request' }>;

/** A request for a lease on the tokens of a tenant, as it arrives from another entry. */
export type LeaseRequestMessage = Extract<PeerMessage, { readonly kind: 'lease-request' }>;

/** Encodes a gossip message. */
export function encodePeerMessage(message: PeerMessage): Uint8Array {
  return encodeMessagePack(message);
}

/** Decodes a gossip message; returns `undefined` for invalid bytes. */
export function decodePeerMessage(bytes: Uint8Array): PeerMessage | undefined {
  return decodeChecked(peerMessageSchema, bytes);
}
