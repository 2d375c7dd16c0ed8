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
    .forEach((file) => {
      mkdirSync(dirname(join(scratch, file)), { recursive: true });
      copyFileSync(file, join(scratch, file));
    });
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

function remove(scratch: string, { file, guard, without }: Removal): void {
  const path = join(scratch, file);
  const text = readFileSync(path, 'utf8');
  if (text.split(guard).length !== 2) {
    throw new Error(`"${guard}" must occur once in ${file}; correct guards.ts`);
  }
  writeFileSync(
    path,
    text.replace(guard, () => without),
  );
}

function restore(scratch: string, { file }: Removal): void {
  copyFileSync(file, join(scratch, file));
}

function tryWithout(scratch: string, guard: Guard): Result {
  const removals = [guard, ...(guard.also ?? [])];
  try {
    removals.forEach((removal) => remove(scratch, removal));
    return { guard, reds: runScenarios(scratch, guard.noticedBy) };
  } finally {
    removals.forEach((removal) => restore(scratch, removal));
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
