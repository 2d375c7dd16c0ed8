import { Command } from 'clipanion';
import { DEPLOYMENTS, sweepCapacity } from '../bench/policy/mod.ts';

/** `hyssopspread bench capacity`. */
export class BenchCapacityCommand extends Command {
  static override paths = [['bench', 'capacity']];

  static override usage = Command.Usage({
    description: 'Prints, one JSON object a line, how much load each modelled deployment bears.',
    examples: [['Run it', '$0 bench capacity']],
  });

  async execute(): Promise<number> {
    for (const deployment of DEPLOYMENTS) {
      const rows = await sweepCapacity(deployment);
      rows.forEach((row) => this.context.stdout.write(`${JSON.stringify(row)}\n`));
    }
    return 0;
  }
}
