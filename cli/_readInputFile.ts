import { readFileSync } from 'node:fs';
import { formatProblem } from '../core/ini/mod.ts';
import type { IniProblem } from '../core/ini/mod.ts';
import { readSettings } from '../settings/mod.ts';
import type { SettingsResult, SettingsRole } from '../settings/mod.ts';

/** An input error of a command, with the text to print. */
export type Failure = {
  readonly kind: 'failure';
  readonly text: string;
  /** Problems by file and line; empty if a file cannot be read. */
  readonly problems: readonly IniProblem[];
};

/** Creates a failure that is not tied to a line of a file. */
export function failure(text: string): Failure {
  return { kind: 'failure', text, problems: [] };
}

/** Creates a failure from problems in files. */
export function failureFromProblems(problems: readonly IniProblem[]): Failure {
  return { kind: 'failure', text: problems.map(formatProblem).join('\n'), problems };
}

/** Reads a text file, or returns why it cannot be read. */
export function readTextFile(
  name: string,
): { readonly kind: 'text'; readonly text: string } | Failure {
  try {
    return { kind: 'text', text: readFileSync(name, 'utf8') };
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? 'error';
    return failure(`${name}: the file cannot be read (${code}); correct its path or permissions`);
  }
}

/** Validated settings with the link keys, or a failure. */
export type SettingsOrFailure<R extends SettingsRole> =
  Extract<SettingsResult<R>, { kind: 'settings' }> | Failure;

/** Reads and validates a settings file. */
export function readSettingsFile<R extends SettingsRole>(
  role: R,
  name: string,
): SettingsOrFailure<R> {
  const file = readTextFile(name);
  if (file.kind === 'failure') return file;
  const result = readSettings(role, name, file.text);
  if (result.kind === 'settings') return result;
  return failureFromProblems(result.problems);
}
