import { setTimeout as sleep } from 'node:timers/promises';
import { Command, Option } from 'clipanion';
import { operatorToken } from './_operatorToken.ts';
import { formatStatuses, laggardsOf, readStatus } from './_processStatus.ts';
import type { StatusReading } from './_processStatus.ts';

const POLL_MS = 250;

const MILLISECONDS_IN_SECOND = 1000;

const MOST_LAGGARDS_SHOWN = 5;

/** `hyssopspread status`. */
export class StatusCommand extends Command {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'Prints what processes say of themselves.',
    details: 'With --wait, exits with 0 once the generation is in force in all processes.',
    examples: [
      ['Ask two processes', '$0 status http://127.0.0.1:8081 http://127.0.0.1:8082'],
      ['Wait for a generation', '$0 status --wait 12 http://127.0.0.1:8081'],
    ],
  });

  readonly wait = Option.String('--wait');

  readonly timeout = Option.String('--timeout', '60');

  readonly json = Option.Boolean('--json', false);

  readonly urls = Option.Rest({ required: 1 });

  async execute(): Promise<number> {
    if (this.wait === undefined) {
      const readings = await this.#read();
      this.#print(readings);
      return readings.every((reading) => reading.kind === 'status') ? 0 : 1;
    }
    const generation = Number(this.wait);
    const limitMs = Number(this.timeout) * MILLISECONDS_IN_SECOND;
    if (Number.isSafeInteger(generation) && generation > 0 && limitMs >= 0) {
      return this.#waitFor(generation, limitMs);
    }
    this.context.stderr.write('--wait and --timeout must be whole numbers; correct them\n');
    return 1;
  }

  #read(): Promise<readonly StatusReading[]> {
    const token = operatorToken();
    return Promise.all(this.urls.map((url) => readStatus(url, token)));
  }

  async #waitFor(generation: number, limitMs: number): Promise<number> {
    const until = performance.now() + limitMs;
    let told = '';
    for (;;) {
      const readings = await this.#read();
      const laggards = laggardsOf(readings, generation);
      const progress = `generation ${generation}: ${laggards.length} lack it`;
      const names = laggards.slice(0, MOST_LAGGARDS_SHOWN).join(', ');
      const line = laggards.length === 0 ? `${progress}\n` : `${progress}: ${names}\n`;
      if (line !== told) this.context.stderr.write(line);
      told = line;
      if (laggards.length === 0 || performance.now() >= until) {
        this.#print(readings);
        return laggards.length === 0 ? 0 : 1;
      }
      await sleep(POLL_MS);
    }
  }

  #print(readings: readonly StatusReading[]): void {
    const text = this.json
      ? `${JSON.stringify(readings.map((each) => (each.kind === 'status' ? each.status : each)))}\n`
      : formatStatuses(readings);
    this.context.stdout.write(text);
  }
}
