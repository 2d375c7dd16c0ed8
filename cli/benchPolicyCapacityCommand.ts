import { Command } from 'clipanion';
import { DEPLOYMENTS, sweepCapacity } from '../bench/policy/mod.ts';

/** `hyssopspread bench policy-capacity`. */
export class BenchPolicyCapacityCommand extends Command {
  static override paths = [['bench', 'policy-capacity']];

  static override usage = Command.Usage({
    description:
      'Measures the load that each modelled deployment sustains; prints one JSON object a line.',
    examples: [['Run it', '$0 bench policy-capacity']],
  });

  async execute(): Promise<number> {
    for (const deployment of DEPLOYMENTS) {
      const rows = await sweepCapacity(deployment);
      rows.forEach((row) => this.context.stdout.write(`${JSON.stringify(row)}\n`));
    }
    return 0;
  }
}
