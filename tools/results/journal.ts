import * as z from 'zod/mini';

const daySchema = z.object({
  name: z.string(),
  // The day's worth, before it is converted to the score.
  G: z.number(),
  score: z.optional(z.nullable(z.number())),
  served: z.number(),
  refused: z.number(),
  failed: z.number(),
  // Number of violations by rule.
  rules: z.record(z.string(), z.number()),
  fault: z.nullable(z.string()),
  // Parts of the worth: name, weight, share achieved.
  parts: z.array(z.tuple([z.string(), z.number(), z.number()])),
  // Prices: name, quantity, deduction from the worth; null where a day was stopped before it was known.
  prices: z.array(z.tuple([z.string(), z.number(), z.nullable(z.number())])),
});

const entrySchema = z.object({
  at: z.array(z.string()),
  cmd: z.string(),
  why: z.optional(z.nullable(z.string())),
  site: z.nullable(z.string()),
  ok: z.boolean(),
  days: z.array(daySchema),
});

/** Result of one simulated day on the users' platform. */
export type DayResult = Readonly<z.infer<typeof daySchema>>;

/** Journal entry of one run of the users' bench. */
export type JournalEntry = Readonly<z.infer<typeof entrySchema>>;

/**
 * Decodes one journal file.
 *
 * @throws {Error} When the text is not a journal entry; the message names the invalid field.
 */
export function decodeJournalEntry(text: string): JournalEntry {
  const read = entrySchema.safeParse(JSON.parse(text));
  if (read.success) return read.data;
  const [issue] = read.error.issues;
  const field = issue?.path.join('.') ?? '';
  throw new Error(
    `journal entry has an invalid field "${field}"; restore the file from the Git history`,
  );
}
