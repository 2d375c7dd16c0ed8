import * as z from 'zod/mini';

const lineSchema = z.looseObject({
  number: z.string(),
  timestamp: z.string(),
  host: z.optional(z.string()),
  request: z.optional(z.string()),
});

/** One line of a process's JSON log. */
export type LogLine = Readonly<z.infer<typeof lineSchema>>;

/** Parses a line, ignoring any text before its JSON. Returns `undefined` if it is not a log line. */
export function readLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    return lineSchema.safeParse(JSON.parse(text.slice(start))).data;
  } catch {
    // Other programs may write to the same stream.
    return undefined;
  }
}

/** The time of a line, in milliseconds since the epoch by the clock of its host. */
export function timeOf(line: LogLine): number {
  return Date.parse(line.timestamp);
}
