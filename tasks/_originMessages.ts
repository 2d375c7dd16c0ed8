import * as z from 'zod/mini';
import type { OriginLedger, StreamOrigin } from '../core/streamOrigins/mod.ts';
import type { Milliseconds } from '../core/clock/mod.ts';

/** Longest request id that processes tell each other. */
const MAX_REQUEST_ID_LENGTH = 200;

const requestIdSchema = z.string().check(z.maxLength(MAX_REQUEST_ID_LENGTH));

const countSchema = z.int().check(z.nonnegative());

/** Where streams begin. */
export const streamOriginsSchema = z.object({
  kind: z.literal('stream-origins'),
  // Short name of the process that began the streams.
  by: z.string(),
  // Service, software version and request ids.
  groups: z.readonly(
    z.array(z.readonly(z.tuple([z.string(), z.string(), z.readonly(z.array(requestIdSchema))]))),
  ),
});

/** The question where a stream began. */
export const originQuerySchema = z.object({
  kind: z.literal('origin-query'),
  query: z.object({ service: z.string(), requestId: requestIdSchema, number: countSchema }),
});

/** Its answer. */
export const originAnswerSchema = z.object({
  kind: z.literal('origin-answer'),
  answer: z.object({
    number: countSchema,
    version: z.optional(z.string()),
    // Absent from older builds and from keepers.
    seen: z.optional(
      z.object({ versions: z.readonly(z.array(z.string())), isComplete: z.boolean() }),
    ),
  }),
});

/** Where streams begin, as it is sent. */
export type StreamOriginsMessage = Readonly<z.infer<typeof streamOriginsSchema>>;

/** The question where a stream began, as it is sent. */
export type OriginQueryMessage = Readonly<z.infer<typeof originQuerySchema>>;

/**
 * Encodes origins that one process records; each stream must occur once, since the order is lost.
 *
 * @param by Short name of the process.
 */
export function groupOrigins(by: string, origins: readonly StreamOrigin[]): StreamOriginsMessage {
  const groups = new Map<string, readonly [string, string, string[]]>();
  origins.forEach(({ service, version, requestId }) => {
    const name = JSON.stringify([service, version]);
    const group = groups.get(name) ?? [service, version, []];
    group[2].push(requestId);
    groups.set(name, group);
  });
  return { kind: 'stream-origins', by, groups: [...groups.values()] };
}

/** Records origins that another process has sent. */
export function noteOrigins(
  ledger: OriginLedger,
  { by, groups }: StreamOriginsMessage,
  now: Milliseconds,
): void {
  groups.forEach(([service, version, requestIds]) =>
    requestIds.forEach((requestId) =>
      ledger.note({ service, version, requestId, beganBy: by }, now),
    ),
  );
}
