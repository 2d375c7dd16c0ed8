import { readFileSync } from 'node:fs';
import { formatProblem } from '../core/ini/mod.ts';
import type { IniProblem } from '../core/ini/mod.ts';
import { readSettings } from '../settings/mod.ts';
import type { SettingsResult, SettingsRole } from '../settings/mod.ts';

/** A check that a command failed, with the text to print. */
export type Refusal = {
  readonly kind: 'refusal';
  readonly text: string;
  /** What is wrong, place by place, if it stands in files that can be read. */
  readonly problems: readonly IniProblem[];
};

/** Builds a refusal. */
export function refusal(text: string): Refusal {
  return { kind: 'refusal', text, problems: [] };
}

/** Builds a refusal of problems in files. */
export function refusalOf(problems: readonly IniProblem[]): Refusal {
  return { kind: 'refusal', text: problems.map(formatProblem).join('\n'), problems };
}

/** Reads a file, or says why it cannot be read. */
export function readFileOrExplain(
  name: string,
): { readonly kind: 'text'; readonly text: string } | Refusal {
  try {
    return { kind: 'text', text: readFileSync(name, 'utf8') };
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? 'error';
    return refusal(`${name}: the file cannot be read (${code}); correct its name or its rights`);
  }
}

/** Checked settings with the keys of links, or a refusal. */
export type SettingsOrRefusal<R extends SettingsRole> =
  Extract<SettingsResult<R>, { kind: 'settings' }> | Refusal;

/** Reads and checks a settings file. */
export function readSettingsFile<R extends SettingsRole>(
  role: R,
  name: string,
): SettingsOrRefusal<R> {
  const file = readFileOrExplain(name);
  if (file.kind === 'refusal') return file;
  const reading = readSettings(role, name, file.text);
  if (reading.kind === 'settings') return reading;
  return refusalOf(reading.problems);
}
