import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Command, Option } from 'clipanion';
import { formatCapacityPage, measureSlopes } from '../bench/capacity/mod.ts';
import type { CapacityRecord } from '../bench/capacity/mod.ts';

/** `hyssopspread bench capacity`. */
export class BenchCapacityCommand extends Command {
  static override paths = [['bench', 'capacity']];

  static override usage = Command.Usage({
    description: 'Measures the cost of state, messages and decisions on this machine.',
    examples: [['Write the page and its JSON record', '$0 bench capacity --json --write docs']],
  });

  readonly json = Option.Boolean('--json', false);

  readonly write = Option.String('--write', '', {
    description: 'Folder to write CAPACITY.md and capacity.json to',
  });

  readonly busy = Option.Boolean('--busy', false, {
    description: 'Record that the machine was busy with other work',
  });

  async execute(): Promise<number> {
    const record: CapacityRecord = {
      command: 'hyssopspread bench capacity --json --write docs',
      node: `Node.js ${process.version}`,
      busyMachine: this.busy,
      slopes: measureSlopes(),
    };
    const page = formatCapacityPage(record);
    const json = `${JSON.stringify(record, undefined, 2)}\n`;
    if (this.write !== '') {
      writeFileSync(join(this.write, 'capacity.json'), json);
      writeFileSync(join(this.write, 'CAPACITY.md'), page);
    }
    this.context.stdout.write(this.json ? json : page);
    return 0;
  }
}
