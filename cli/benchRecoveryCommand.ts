import { Command, Option } from 'clipanion';
import { measureRecovery, missedTargets, RECOVERY_FAULTS } from '../bench/recovery/mod.ts';
import type { RecoveryFaultName, RecoveryRow } from '../bench/recovery/mod.ts';

const COLUMNS = [
  'fault',
  'servedAgainMs',
  'calledAgainMs',
  'streamResumedMs',
  'avoidedMs',
  'lastNewWorkMs',
  'unknownShare',
] as const;

function formatRow(row: RecoveryRow): string {
  const cells = COLUMNS.map((name) => String(row[name] ?? '-'));
  const counts = [row.completions, row.keyedCalls].map((each) => JSON.stringify(each));
  return [...cells, ...counts].join('\t');
}

/** `hyssopspread bench recovery`. */
export class BenchRecoveryCommand extends Command {
  static override paths = [['bench', 'recovery']];

  static override usage = Command.Usage({
    description: 'Measures recovery from each fault in virtual time.',
    examples: [['Measure with another seed', '$0 bench recovery --json --seed 2']],
  });

  readonly json = Option.Boolean('--json', false);

  readonly seed = Option.String('--seed', '1');

  async execute(): Promise<number> {
    const rows: RecoveryRow[] = [];
    for (const fault of Object.keys(RECOVERY_FAULTS) as RecoveryFaultName[]) {
      rows.push(await measureRecovery(fault, Number(this.seed)));
    }
    const missed = rows.flatMap((row) => missedTargets(row).map((each) => `${row.fault}: ${each}`));
    const table = [[...COLUMNS, 'completions', 'keyedCalls'].join('\t'), ...rows.map(formatRow)];
    const text = this.json ? JSON.stringify({ rows, missed }, undefined, 2) : table.join('\n');
    this.context.stdout.write(`${text}\n`);
    missed.forEach((each) => this.context.stderr.write(`${each}\n`));
    return missed.length === 0 ? 0 : 1;
  }
}
