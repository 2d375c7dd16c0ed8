import * as z from 'zod/mini';

/** Longest trait; longer values are hashed by their sender. */
const MAX_TRAIT_LENGTH = 100;

// A negative age would be in the future, and never expire.
const ageSchema = z.number().check(z.nonnegative());

/** A number of things. */
export const countSchema = z.int().check(z.nonnegative());

const traitSchema = z.string().check(z.maxLength(MAX_TRAIT_LENGTH));

const quarantineSchema = z.object({
  ends: z.readonly(
    z.array(
      z.object({
        id: z.string(),
        server: z.string(),
        service: z.string(),
        ageMs: ageSchema,
        traits: z.readonly(z.array(traitSchema)),
      }),
    ),
  ),
  clearances: z.readonly(z.array(z.object({ trait: traitSchema, ageMs: ageSchema }))),
  verdicts: z.readonly(
    z.array(
      z.object({
        trait: traitSchema,
        endCount: countSchema,
        trialCount: countSchema,
        isDoubtful: z.boolean(),
        ageMs: ageSchema,
      }),
    ),
  ),
});

/** The limit of a server. */
export const limitSchema = z.object({
  server: z.string(),
  perSecond: z.number().check(z.positive()),
  isEnded: z.boolean(),
  ageMs: ageSchema,
});

const noticeSchema = z.object({
  id: z.string(),
  bornAt: z.number(),
  isLeaving: z.boolean(),
  pauseLeftMs: z.number().check(z.nonnegative()),
});

/** The kinds of facts that processes tell each other, as fields of a message. */
export const factSchemas = {
  // About requests that crash servers.
  quarantine: z.optional(quarantineSchema),
  // The same about single requests that do.
  requests: z.optional(quarantineSchema),
  limits: z.optional(z.readonly(z.array(limitSchema))),
  // What servers say of themselves.
  notices: z.optional(z.readonly(z.array(noticeSchema))),
};

/** All facts that an entry knows, or that a keeper has kept of it. */
export const factCopySchema = z.object({ kind: z.literal('facts'), facts: z.object(factSchemas) });

/** A copy of facts, as it is sent. */
export type FactCopyMessage = Readonly<z.infer<typeof factCopySchema>>;
