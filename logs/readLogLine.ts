import * as z from 'zod/mini';

const lineSchema = z.looseObject({
  number: z.string(),
  timestamp: z.string(),
  host: z.optional(z.string()),
  request: z.optional(z.string()),
});

/** One line of a process's log. */
export type LogLine = Readonly<z.infer<typeof lineSchema>>;

/** Decodes a line; what stands before its JSON is passed over. `undefined` when it is no log line. */
export function readLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    return lineSchema.safeParse(JSON.parse(text.slice(start))).data;
  } catch {
    // Processes of others may write into the same stream; their lines are no log lines of ours.
    return undefined;
  }
}

/** The time of a line, in milliseconds of the wall clock of its host. */
export function timeOf(line: LogLine): number {
  return Date.parse(line.timestamp);
}
