import { spawnSync } from 'node:child_process';
import { mkdirSync, readFileSync } from 'node:fs';
import { compareWithKnown, parseKnownFailures } from './knownRed.ts';
import type { TestResult } from './knownRed.ts';

/** A command that must succeed before the next step starts. */
type Step = { readonly name: string; readonly command: readonly string[] };

const REPORT = 'node_modules/.cache/mocha-report.json';

const STEPS: readonly Step[] = [
  { name: 'format', command: ['npm', 'run', '--silent', 'format:check'] },
  { name: 'lint', command: ['npm', 'run', '--silent', 'lint'] },
  { name: 'types', command: ['npm', 'run', '--silent', 'typecheck'] },
  { name: 'build', command: ['npm', 'run', '--silent', 'build'] },
];

type MochaTest = { readonly fullTitle: string; readonly err: { readonly message?: string } };

type MochaReport = {
  readonly passes: readonly MochaTest[];
  readonly failures: readonly MochaTest[];
  readonly pending: readonly MochaTest[];
};

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function runStep(step: Step): boolean {
  print(`== ${step.name}`);
  const [program = '', ...parameters] = step.command;
  return spawnSync(program, parameters, { stdio: 'inherit' }).status === 0;
}

function runTests(): MochaReport | undefined {
  print('== tests, scenarios and golden sessions');
  mkdirSync('node_modules/.cache', { recursive: true });
  const options = ['mocha', '--reporter', 'json', '--reporter-option', `output=${REPORT}`];
  const run = spawnSync('npx', options, { stdio: ['ignore', 'ignore', 'inherit'] });
  if (run.status === null) return undefined;
  try {
    return JSON.parse(readFileSync(REPORT, 'utf8')) as MochaReport;
  } catch {
    return undefined;
  }
}

function reportResults(report: MochaReport): boolean {
  const results: TestResult[] = [
    ...report.passes.map(({ fullTitle }) => ({ title: fullTitle, passed: true })),
    ...report.failures.map(({ fullTitle }) => ({ title: fullTitle, passed: false })),
  ];
  const summary = compareWithKnown(
    results,
    parseKnownFailures(readFileSync('KNOWN-RED.txt', 'utf8')),
  );
  const messages = new Map(report.failures.map((each) => [each.fullTitle, each.err.message ?? '']));
  summary.known.forEach((title) => print(`known red: ${title}`));
  summary.unsteady.forEach((title) => print(`known red, passed this time: ${title}`));
  summary.stale.forEach((title) => print(`listed in KNOWN-RED.txt but not failing: ${title}`));
  summary.unlisted.forEach((title) => print(`FAILED: ${title}\n  ${messages.get(title)}`));
  report.pending.forEach(({ fullTitle }) => print(`FAILED: skipped: ${fullTitle}`));
  const wrong = summary.unlisted.length + summary.stale.length + report.pending.length;
  print(`${report.passes.length} passed, ${wrong} failed`);
  return wrong === 0 && report.passes.length > 0;
}

function main(): boolean {
  for (const step of STEPS) {
    if (!runStep(step)) {
      print(`the step "${step.name}" failed`);
      return false;
    }
  }
  const report = runTests();
  if (report === undefined) {
    print('the tests could not be run: mocha was killed or wrote no readable report');
    return false;
  }
  return reportResults(report);
}

process.exitCode = main() ? 0 : 1;
