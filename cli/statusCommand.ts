import { setTimeout as sleep } from 'node:timers/promises';
import { Command, Option } from 'clipanion';
import { operatorToken } from './_operatorToken.ts';
import { formatStatuses, findLagging, readStatus } from './_processStatus.ts';
import type { StatusResult } from './_processStatus.ts';

const POLL_INTERVAL_MS = 250;

const MILLISECONDS_IN_SECOND = 1000;

const MAX_LAGGING_SHOWN = 5;

/** `hyssopspread status`. */
export class StatusCommand extends Command {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'Prints the status of processes.',
    details:
      'With --wait, polls until the generation is in force in all processes, then exits with 0.',
    examples: [
      [
        'Print the status of two processes',
        '$0 status http://127.0.0.1:8081 http://127.0.0.1:8082',
      ],
      ['Wait for a generation', '$0 status --wait 12 http://127.0.0.1:8081'],
    ],
  });

  readonly wait = Option.String('--wait');

  readonly timeout = Option.String('--timeout', '60');

  readonly json = Option.Boolean('--json', false);

  readonly urls = Option.Rest({ required: 1 });

  async execute(): Promise<number> {
    if (this.wait === undefined) {
      const results = await this.#readAll();
      this.#print(results);
      return results.every((result) => result.kind === 'status') ? 0 : 1;
    }
    const generation = Number(this.wait);
    const timeoutMs = Number(this.timeout) * MILLISECONDS_IN_SECOND;
    if (Number.isSafeInteger(generation) && generation > 0 && timeoutMs >= 0) {
      return this.#waitFor(generation, timeoutMs);
    }
    this.context.stderr.write(
      '--wait must be a whole number above 0 and --timeout a number of seconds; correct them\n',
    );
    return 1;
  }

  #readAll(): Promise<readonly StatusResult[]> {
    const token = operatorToken();
    return Promise.all(this.urls.map((url) => readStatus(url, token)));
  }

  async #waitFor(generation: number, timeoutMs: number): Promise<number> {
    const deadline = performance.now() + timeoutMs;
    let lastLine = '';
    for (;;) {
      const results = await this.#readAll();
      const lagging = findLagging(results, generation);
      const progress = `generation ${generation}: ${lagging.length} lagging`;
      const names = lagging.slice(0, MAX_LAGGING_SHOWN).join(', ');
      const line = lagging.length === 0 ? `${progress}\n` : `${progress}: ${names}\n`;
      if (line !== lastLine) this.context.stderr.write(line);
      lastLine = line;
      if (lagging.length === 0 || performance.now() >= deadline) {
        this.#print(results);
        return lagging.length === 0 ? 0 : 1;
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  #print(results: readonly StatusResult[]): void {
    const text = this.json
      ? `${JSON.stringify(results.map((each) => (each.kind === 'status' ? each.status : each)))}\n`
      : formatStatuses(results);
    this.context.stdout.write(text);
  }
}
