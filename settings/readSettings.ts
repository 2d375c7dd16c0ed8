import { parseIni } from '../core/ini/mod.ts';
import type { IniFile, IniProblem, IniSection } from '../core/ini/mod.ts';
import { describeIssue, showValue } from './_describeIssue.ts';
import type { SettingsIssue } from './_describeIssue.ts';
import { SETTINGS_SCHEMAS } from './_schemas.ts';
import type { Settings, SettingsRole } from './_schemas.ts';
import { readLinkKey } from './readLinkKey.ts';
import type { LinkKeySource } from './readLinkKey.ts';

/** The outcome of reading settings. */
export type SettingsReading<R extends SettingsRole> =
  | {
      readonly kind: 'settings';
      readonly settings: Settings<R>;
      /** The keys of links, the first of which signs; none for stand-ins. */
      readonly linkKeys: readonly string[];
    }
  | { readonly kind: 'problems'; readonly problems: readonly IniProblem[] };

function valuesOf(file: IniFile): Readonly<Record<string, Readonly<Record<string, string>>>> {
  return Object.fromEntries(
    file.sections.map((section) => [section.name, Object.fromEntries(section.values)]),
  );
}

/** Joins sections of one name, whose repetition is a problem already, so that each key is checked. */
function joinSections(file: IniFile): IniFile {
  const joined = new Map<string, IniSection>();
  file.sections.forEach((section) => {
    const first = joined.get(section.name);
    const values = new Map([...section.values, ...(first?.values ?? [])]);
    const lines = new Map([...section.lines, ...(first?.lines ?? [])]);
    joined.set(section.name, { ...section, line: first?.line ?? section.line, values, lines });
  });
  return { ...file, sections: [...joined.values()] };
}

/** Adds the value that stands on the line of a problem, such as that of a repeated key. */
function withValue(problem: IniProblem, lines: readonly string[]): IniProblem {
  const match = /^\s*([\w.-]+)\s*=\s*(.*?)\s*$/.exec(lines[problem.line - 1] ?? '');
  if (match === null) return problem;
  const [, key = '', value = ''] = match;
  return { ...problem, message: `${key} = ${showValue(key, value)}: ${problem.message}` };
}

function linkSource(file: IniFile): LinkKeySource | undefined {
  const section = file.sections.find(({ name }) => name === 'link');
  const [env, path] = [section?.values.get('key_env'), section?.values.get('key_file')];
  if ((env === undefined) === (path === undefined)) return undefined;
  return { key_env: env, key_file: path };
}

/** Reads the link keys that a file names, so that a weak one is told with all other problems. */
function checkLinkKey(
  role: SettingsRole,
  file: IniFile,
): { readonly keys: readonly string[]; readonly problems: readonly IniProblem[] } {
  const source = role === 'standins' ? undefined : linkSource(file);
  if (source === undefined) return { keys: [], problems: [] };
  const reading = readLinkKey(source);
  if (reading.kind === 'keys') return { keys: reading.keys, problems: [] };
  const section = file.sections.find(({ name }) => name === 'link');
  const key = source.key_env === undefined ? 'key_file' : 'key_env';
  const place = source.key_env ?? source.key_file;
  const message = `[link] ${key} = "${place}": ${reading.message}`;
  return {
    keys: [],
    problems: [{ file: file.file, line: section?.lines.get(key) ?? 1, message }],
  };
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
  const file = joinSections(parseIni(name, text));
  const lines = text.split(/\r?\n/);
  const result = SETTINGS_SCHEMAS[role].safeParse(valuesOf(file));
  const issues = result.success ? [] : result.error.issues;
  const linkKey = checkLinkKey(role, file);
  const problems = [
    ...file.problems.map((problem) => withValue(problem, lines)),
    ...issues.flatMap((issue) => describeIssue(file, issue as SettingsIssue)),
    ...linkKey.problems,
  ].sort((a, b) => a.line - b.line);
  if (!result.success || problems.length > 0) return { kind: 'problems', problems };
  return { kind: 'settings', settings: result.data as Settings<R>, linkKeys: linkKey.keys };
}
