import { execFileSync, spawnSync } from 'node:child_process';
import {
  copyFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { GUARDS } from './guards.ts';
import type { Guard, Removal } from './guards.ts';

/** Time after which a run of scenarios counts as one that does not end. */
const SCENARIO_TIMEOUT_MS = 120_000;

type MutantResult = { readonly guard: Guard; readonly failed: readonly string[] };

function copyRepository(): string {
  const scratch = mkdtempSync(join(tmpdir(), 'hyssopspread-mutants-'));
  const files = execFileSync('git', ['ls-files', '--cached', '--others', '--exclude-standard']);
  files
    .toString()
    .split('\n')
    .filter((file) => file !== '')
    .forEach((file) => {
      mkdirSync(dirname(join(scratch, file)), { recursive: true });
      copyFileSync(file, join(scratch, file));
    });
  symlinkSync(resolve('node_modules'), join(scratch, 'node_modules'));
  return scratch;
}

/** Runs scenarios in the scratch copy and returns the names of those that fail. */
function runScenarios(scratch: string, names: readonly string[]): readonly string[] {
  const files = names.map((name) => `scenarios/${name}.scenario`);
  const command = ['--import', 'tsx', 'cli/main.ts', 'scenario', 'run', '--no-golden', ...files];
  const run = spawnSync(process.execPath, command, { cwd: scratch, timeout: SCENARIO_TIMEOUT_MS });
  if (run.status === null) return names.map((name) => `${name} (does not end)`);
  const output = run.stdout.toString();
  const failed = names.filter((name) => output.includes(`FAILED scenarios/${name}.scenario`));
  if (run.status !== 0 && failed.length === 0) throw new Error(run.stderr.toString());
  return failed;
}

function removeGuard(scratch: string, { file, guard, without }: Removal): void {
  const path = join(scratch, file);
  const text = readFileSync(path, 'utf8');
  if (text.split(guard).length !== 2) {
    throw new Error(`"${guard}" must occur once in ${file}; correct tools/mutants/guards.ts`);
  }
  writeFileSync(
    path,
    text.replace(guard, () => without),
  );
}

function restoreFile(scratch: string, { file }: Removal): void {
  copyFileSync(file, join(scratch, file));
}

function testMutant(scratch: string, guard: Guard): MutantResult {
  const removals = [guard, ...(guard.also ?? [])];
  try {
    removals.forEach((removal) => removeGuard(scratch, removal));
    return { guard, failed: runScenarios(scratch, guard.detectedBy) };
  } finally {
    removals.forEach((removal) => restoreFile(scratch, removal));
  }
}

function report({ guard, failed }: MutantResult): boolean {
  const verdict = failed.length > 0 ? `red: ${failed.join(', ')}` : 'NOT PROVED: no scenario fails';
  process.stdout.write(`${guard.name} (${guard.file}): ${verdict}\n`);
  return failed.length > 0;
}

function main(): void {
  const scratch = copyRepository();
  try {
    const scenarios = [...new Set(GUARDS.flatMap(({ detectedBy: noticedBy }) => noticedBy))];
    const failed = runScenarios(scratch, scenarios);
    if (failed.length > 0) throw new Error(`these fail with all guards: ${failed.join(', ')}`);
    const proved = GUARDS.filter((guard) => report(testMutant(scratch, guard))).length;
    process.stdout.write(`${proved} of ${GUARDS.length} guards proved necessary\n`);
  } finally {
    rmSync(scratch, { recursive: true });
  }
}

main();
