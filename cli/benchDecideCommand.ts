import { Command, Option } from 'clipanion';
import { runDecideBench } from '../bench/decide/mod.ts';

/** `hyssopspread bench decide`. */
export class BenchDecideCommand extends Command {
  static override paths = [['bench', 'decide']];

  static override usage = Command.Usage({
    description: 'Measures the time of one routing decision and one adapter scheduling decision.',
    examples: [['Run it', '$0 bench decide --json']],
  });

  readonly json = Option.Boolean('--json', false);

  execute(): Promise<number> {
    const { gc } = globalThis;
    const collectGarbage = (): void => {
      gc?.();
    };
    const result = runDecideBench(gc === undefined ? {} : { collectGarbage });
    const lines = [
      ...result.rows.map(
        ({ decision, size, p50Us, p99Us }) => `${decision}\t${size}\t${p50Us}\t${p99Us}`,
      ),
      ...result.slopes.map(({ decision, p50Slope }) => `slope\t${decision}\t${p50Slope}`),
    ];
    const text = this.json ? JSON.stringify(result, undefined, 1) : lines.join('\n');
    this.context.stdout.write(`${text}\n`);
    return Promise.resolve(0);
  }
}
