import { Command, Option } from 'clipanion';
import { measureLimits } from '../bench/limits/mod.ts';

/** `hyssopspread bench limits`. */
export class BenchLimitsCommand extends Command {
  static override paths = [['bench', 'limits']];

  static override usage = Command.Usage({
    description: "Compares ways to enforce a tenant's limit across entries, in virtual time.",
    examples: [['Print the figures', '$0 bench limits --json']],
  });

  readonly json = Option.Boolean('--json', false);

  readonly seed = Option.String('--seed', '1');

  async execute(): Promise<number> {
    const figures = measureLimits(Number(this.seed));
    const lines = figures.map((figure) => {
      const { case: caseName, way, overshoot, overshootAtStart, used, unfairness } = figure;
      const overshootText = `overshoot ${overshoot}, at start ${overshootAtStart}`;
      return `${caseName}, ${way}: ${overshootText}, used ${used}, unfairness ${unfairness}`;
    });
    const text = this.json ? JSON.stringify(figures, null, 2) : lines.join('\n');
    this.context.stdout.write(`${text}\n`);
    return 0;
  }
}
