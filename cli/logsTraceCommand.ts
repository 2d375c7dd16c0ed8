import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { Command, Option } from 'clipanion';
import { formatTrace, readLogLine, traceRequest } from '../logs/mod.ts';
import type { LogLine } from '../logs/mod.ts';

/** Reads the log lines of one file and skips lines of other kinds. */
async function readLines(file: string): Promise<readonly LogLine[]> {
  const lines: LogLine[] = [];
  const input = createReadStream(file, 'utf8');
  for await (const text of createInterface({ input, crlfDelay: Infinity })) {
    const line = readLogLine(text);
    if (line !== undefined) lines.push(line);
  }
  return lines;
}

/** `hyssopspread logs trace`. */
export class LogsTraceCommand extends Command {
  static override paths = [['logs', 'trace']];

  static override usage = Command.Usage({
    description: 'Traces one request through the logs of the processes and explains its outcome.',
    details: 'Pass the logs of all entries and keepers that cover the request, in any order.',
    examples: [['Trace a request', '$0 logs trace 9c41d07be2a35f68 entry-1.log entry-2.log']],
  });

  readonly id = Option.String({ required: true });

  readonly files = Option.Rest({ required: 1 });

  async execute(): Promise<number> {
    const lines: LogLine[] = [];
    for (const file of this.files) {
      try {
        lines.push(...(await readLines(file)));
      } catch (error) {
        this.context.stderr.write(`${file} cannot be read: ${String(error)}; correct its path\n`);
        return 1;
      }
    }
    const trace = traceRequest(lines, this.id);
    if (trace === undefined) {
      const read = `${lines.length} log lines in ${this.files.length} files`;
      this.context.stderr.write(
        `no line names request "${this.id}" (${read}); give the logs of the entry that accepted it\n`,
      );
      return 1;
    }
    this.context.stdout.write(`${formatTrace(trace)}\n`);
    return 0;
  }
}
