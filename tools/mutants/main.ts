import { execFileSync, spawnSync } from 'node:child_process';
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { GUARDS } from './guards.ts';
import type { Guard } from './guards.ts';

/** Time after which a run without a guard counts as one that does not end. */
const RUN_TIMEOUT_MS = 120_000;

type Result = { readonly guard: Guard; readonly reds: readonly string[] };

function copyRepository(): string {
  const scratch = mkdtempSync(join(tmpdir(), 'hyssopspread-mutants-'));
  const files = execFileSync('git', ['ls-files', '--cached', '--others', '--exclude-standard']);
  files
    .toString()
    .split('\n')
    .filter((file) => file !== '')
    .forEach((file) => cpSync(file, join(scratch, file)));
  symlinkSync(resolve('node_modules'), join(scratch, 'node_modules'));
  return scratch;
}

/** Runs scenarios in the scratch copy and returns the names of those that broke a promise. */
function runScenarios(scratch: string, names: readonly string[]): readonly string[] {
  const files = names.map((name) => `scenarios/${name}.scenario`);
  const command = ['--import', 'tsx', 'cli/main.ts', 'scenario', 'run', '--no-golden', ...files];
  const run = spawnSync(process.execPath, command, { cwd: scratch, timeout: RUN_TIMEOUT_MS });
  if (run.status === null) return names.map((name) => `${name} (does not end)`);
  const output = run.stdout.toString();
  const reds = names.filter((name) => output.includes(`FAILED scenarios/${name}.scenario`));
  if (run.status !== 0 && reds.length === 0) throw new Error(run.stderr.toString());
  return reds;
}

function tryWithout(scratch: string, guard: Guard): Result {
  const file = join(scratch, guard.file);
  const text = readFileSync(file, 'utf8');
  if (text.split(guard.guard).length !== 2) {
    throw new Error(
      `the guard "${guard.name}" must occur once in ${guard.file}; correct guards.ts`,
    );
  }
  writeFileSync(
    file,
    text.replace(guard.guard, () => guard.without),
  );
  try {
    return { guard, reds: runScenarios(scratch, guard.noticedBy) };
  } finally {
    writeFileSync(file, text);
  }
}

function report({ guard, reds }: Result): boolean {
  const verdict = reds.length > 0 ? `red: ${reds.join(', ')}` : 'NOT PROVED: nothing notices';
  process.stdout.write(`${guard.name} (${guard.file}): ${verdict}\n`);
  return reds.length > 0;
}

function main(): void {
  const scratch = copyRepository();
  try {
    const named = [...new Set(GUARDS.flatMap(({ noticedBy }) => noticedBy))];
    const reds = runScenarios(scratch, named);
    if (reds.length > 0) throw new Error(`red with all guards in place: ${reds.join(', ')}`);
    const proved = GUARDS.filter((guard) => report(tryWithout(scratch, guard))).length;
    process.stdout.write(`${proved} of ${GUARDS.length} guards are noticed\n`);
  } finally {
    rmSync(scratch, { recursive: true });
  }
}

main();
