import { Command, Option } from 'clipanion';
import { POLICIES, runPolicyBench } from '../bench/policy/mod.ts';
import type { PolicyBenchOptions, PolicyRow } from '../bench/policy/mod.ts';

const COLUMNS = [
  'deployment',
  'policy',
  'case',
  'contender',
  'seed',
  'stallP99Ms',
  'stalledShare',
  'batchEfficiency',
  'completed',
  'notRun',
  'loads',
  'wastedLoads',
] as const;

function formatRow(row: PolicyRow): string {
  return COLUMNS.map((column) => {
    const value = row[column];
    return typeof value === 'number' ? String(Math.round(value * 1000) / 1000) : value;
  }).join('\t');
}

/** `hyssopspread bench policy`. */
export class BenchPolicyCommand extends Command {
  static override paths = [['bench', 'policy']];

  static override usage = Command.Usage({
    description: 'Compares routing and adapter scheduling with baselines on a virtual clock.',
    examples: [
      ['Run every combination', '$0 bench policy --json'],
      ['Run one case', '$0 bench policy --case steady --seed 1'],
    ],
  });

  readonly json = Option.Boolean('--json', false);

  readonly deployments = Option.Array('--deployment');

  readonly policies = Option.Array('--policy');

  readonly cases = Option.Array('--case');

  readonly contenders = Option.Array('--contender');

  readonly seeds = Option.Array('--seed');

  async execute(): Promise<number> {
    const rows = await runPolicyBench(this.#options());
    const text = this.json
      ? JSON.stringify(rows, undefined, 1)
      : [COLUMNS.join('\t'), ...rows.map(formatRow)].join('\n');
    this.context.stdout.write(`${text}\n`);
    return 0;
  }

  #options(): PolicyBenchOptions {
    const { deployments, policies, cases, contenders, seeds } = this;
    return {
      ...(deployments === undefined ? {} : { deployments }),
      ...(policies === undefined
        ? {}
        : { policies: POLICIES.filter((policy) => policies.includes(policy)) }),
      ...(cases === undefined ? {} : { cases }),
      ...(contenders === undefined ? {} : { contenders }),
      ...(seeds === undefined ? {} : { seeds: seeds.map(Number) }),
    };
  }
}
