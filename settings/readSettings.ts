import { parseIni } from '../core/ini/mod.ts';
import type { IniFile, IniProblem } from '../core/ini/mod.ts';
import { SETTINGS_SCHEMAS } from './_schemas.ts';
import type { Settings, SettingsRole } from './_schemas.ts';

/** The outcome of reading settings. */
export type SettingsReading<R extends SettingsRole> =
  | { readonly kind: 'settings'; readonly settings: Settings<R> }
  | { readonly kind: 'problems'; readonly problems: readonly IniProblem[] };

function valuesOf(file: IniFile): Readonly<Record<string, Readonly<Record<string, string>>>> {
  return Object.fromEntries(
    file.sections.map((section) => [section.name, Object.fromEntries(section.values)]),
  );
}

type Issue = {
  readonly path: readonly PropertyKey[];
  readonly message: string;
  readonly code?: string | undefined;
  readonly keys?: readonly string[];
};

function describeIssue(file: IniFile, issue: Issue): readonly IniProblem[] {
  const [sectionName, key] = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return (issue.keys ?? []).map((unknown) => {
      const owner = file.sections.find((each) => each.name === (sectionName ?? unknown));
      const line =
        (sectionName === undefined ? undefined : owner?.lines.get(unknown)) ?? owner?.line ?? 1;
      const what = sectionName === undefined ? `section [${unknown}]` : `key "${unknown}"`;
      const message = `${what} is not known; remove it or correct its spelling`;
      return { file: file.file, line, message };
    });
  }
  const section = file.sections.find((each) => each.name === sectionName);
  if (section === undefined) {
    const message = `section [${sectionName}] is missing; add it`;
    return [{ file: file.file, line: 1, message }];
  }
  const value = key === undefined ? undefined : section.values.get(key);
  const line = (key === undefined ? undefined : section.lines.get(key)) ?? section.line;
  const message =
    value === undefined && issue.code !== 'custom'
      ? `[${section.name}] ${key} is missing; add it`
      : `[${section.name}] ${key}${value === undefined ? '' : ` = "${value}"`} ${issue.message}`;
  return [{ file: file.file, line, message }];
}

/**
 * Reads and checks the settings of a command.
 *
 * @param role The command.
 * @param name The file's name, for messages.
 * @param text The file's content.
 * @returns The settings, or every problem with its line and remedy.
 */
export function readSettings<R extends SettingsRole>(
  role: R,
  name: string,
  text: string,
): SettingsReading<R> {
  const file = parseIni(name, text);
  const result = SETTINGS_SCHEMAS[role].safeParse(valuesOf(file));
  if (result.success && file.problems.length === 0) {
    return { kind: 'settings', settings: result.data as Settings<R> };
  }
  const issues = result.success ? [] : result.error.issues;
  const found = issues.flatMap((issue) => describeIssue(file, issue as Issue));
  return { kind: 'problems', problems: [...file.problems, ...found] };
}
