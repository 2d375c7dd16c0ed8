import { Command, Option } from 'clipanion';
import { runPathBench } from '../bench/path/mod.ts';

/** `hyssopspread bench path`. */
export class BenchPathCommand extends Command {
  static override paths = [['bench', 'path']];

  static override usage = Command.Usage({
    description:
      'Compares requests through one entry and one sidecar with direct requests to the engine.',
    details: 'Run it in the repository after "npm run bundle". It starts processes on loopback.',
    examples: [['Print the figures as JSON', '$0 bench path --json']],
  });

  readonly json = Option.Boolean('--json', false, { description: 'Print JSON' });

  readonly note = Option.String('--note', '', {
    description: 'A remark on this run to record with the figures',
  });

  async execute(): Promise<number> {
    const record = await runPathBench(this.note, (text) =>
      this.context.stderr.write(`measuring ${text}\n`),
    );
    const lines = record.targets.map(
      ({ name, target, measured, met }) =>
        `${met ? 'met    ' : 'not met'} ${name}: ${measured} (target ${target})`,
    );
    const text = this.json ? JSON.stringify(record, undefined, 2) : lines.join('\n');
    this.context.stdout.write(`${text}\n`);
    return 0;
  }
}
