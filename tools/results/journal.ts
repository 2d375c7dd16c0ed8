import * as z from 'zod/mini';

const daySchema = z.object({
  name: z.string(),
  // What the day is worth before its marks.
  G: z.number(),
  score: z.optional(z.nullable(z.number())),
  served: z.number(),
  refused: z.number(),
  failed: z.number(),
  // Rules that were broken, with how often.
  rules: z.record(z.string(), z.number()),
  fault: z.nullable(z.string()),
  // Each part of the worth: its name, weight and share.
  parts: z.array(z.tuple([z.string(), z.number(), z.number()])),
  // Each price: its name, quantity and what it costs of the worth.
  prices: z.array(z.tuple([z.string(), z.number(), z.number()])),
});

const entrySchema = z.object({
  at: z.array(z.string()),
  cmd: z.string(),
  why: z.optional(z.nullable(z.string())),
  site: z.nullable(z.string()),
  ok: z.boolean(),
  days: z.array(daySchema),
});

/** One day as it was played. */
export type PlayedDay = Readonly<z.infer<typeof daySchema>>;

/** One run of the bench, as its journal has it. */
export type JournalEntry = Readonly<z.infer<typeof entrySchema>>;

/**
 * Decodes one file of the journal.
 *
 * @throws {Error} When the text is no entry of a journal; the message names the field.
 */
export function decodeJournalEntry(text: string): JournalEntry {
  const read = entrySchema.safeParse(JSON.parse(text));
  if (read.success) return read.data;
  const [issue] = read.error.issues;
  const field = issue?.path.join('.') ?? '';
  throw new Error(`a file of the journal is wrong at "${field}"; restore it from the history`);
}
