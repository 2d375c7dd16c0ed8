import { readFileSync, writeFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import { goldenFile, runScenario, ScenarioError } from '../scenario/mod.ts';

const INVALID_INPUT_EXIT_CODE = 2;

function readGolden(file: string): string | undefined {
  try {
    return readFileSync(goldenFile(file), 'utf8');
  } catch {
    return undefined;
  }
}

/** `hyssopspread scenario run`. */
export class ScenarioRunCommand extends Command {
  static override paths = [['scenario', 'run']];

  static override usage = Command.Usage({
    description: 'Runs scripted scenarios on a virtual clock and checks their expectations.',
    details: 'Compares the output of each scenario with the golden file beside it.',
    examples: [
      ['Run a scenario', '$0 scenario run scenarios/silent-link.scenario'],
      ['Accept changed output', '$0 scenario run --update scenarios/silent-link.scenario'],
    ],
  });

  readonly update = Option.Boolean('--update', false, { description: 'Rewrite the golden files' });

  readonly golden = Option.Boolean('--golden', true, {
    description: 'Compare the output with the golden files',
  });

  readonly journal = Option.Boolean('--journal', false, {
    description: 'Print the output of each scenario',
  });

  readonly files = Option.Rest({ required: 1 });

  async execute(): Promise<number> {
    let failed = 0;
    for (const file of this.files) {
      try {
        if (!(await this.#run(file))) failed += 1;
      } catch (error) {
        const isExpected = error instanceof ScenarioError || (error as { code?: string }).code;
        if (!isExpected) throw error;
        this.context.stderr.write(`${(error as Error).message}\n`);
        return INVALID_INPUT_EXIT_CODE;
      }
    }
    this.context.stdout.write(`${this.files.length - failed} kept, ${failed} failed\n`);
    return failed === 0 ? 0 : 1;
  }

  async #run(file: string): Promise<boolean> {
    const report = await runScenario(file, readFileSync(file, 'utf8'));
    const session = `${report.journal.join('\n')}\n`;
    if (this.journal) this.context.stdout.write(session);
    const matchesGolden = this.update || !this.golden || readGolden(file) === session;
    if (this.update && report.failures.length === 0) writeFileSync(goldenFile(file), session);
    const failures = matchesGolden
      ? report.failures
      : [
          ...report.failures,
          `the output differs from ${goldenFile(file)}; review it and run with --update to accept it`,
        ];
    this.context.stdout.write(`${failures.length === 0 ? 'kept' : 'FAILED'} ${file}\n`);
    failures.forEach((failure) => this.context.stdout.write(`  ${failure}\n`));
    return failures.length === 0;
  }
}
