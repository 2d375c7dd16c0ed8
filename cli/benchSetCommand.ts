import { Command, Option } from 'clipanion';
import { compareDeliveryBytes } from '../bench/set/mod.ts';

/** `hyssopspread bench set`. */
export class BenchSetCommand extends Command {
  static override paths = [['bench', 'set']];

  static override usage = Command.Usage({
    description: 'Compares how many bytes different ways of distributing a changed set transfer.',
    examples: [['Compare the ways', '$0 bench set --json']],
  });

  readonly json = Option.Boolean('--json', false);

  readonly adapters = Option.String('--adapters', '96000');

  async execute(): Promise<number> {
    const rows = compareDeliveryBytes(Number(this.adapters));
    if (this.json) this.context.stdout.write(`${JSON.stringify(rows, undefined, 2)}\n`);
    else rows.forEach((row) => this.context.stdout.write(`${JSON.stringify(row)}\n`));
    return 0;
  }
}
