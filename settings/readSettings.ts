import { parseIni } from '../core/ini/mod.ts';
import type { IniFile, IniProblem, IniSection } from '../core/ini/mod.ts';
import { describeIssue, quoteOrMask } from './_describeIssue.ts';
import type { SettingsIssue } from './_describeIssue.ts';
import { SETTINGS_SCHEMAS } from './_schemas.ts';
import type { Settings, SettingsRole } from './_schemas.ts';
import { readLinkKey } from './readLinkKey.ts';
import type { LinkKeySource } from './readLinkKey.ts';

/** Validated settings, or all problems found. */
export type SettingsResult<R extends SettingsRole> =
  | {
      readonly kind: 'settings';
      readonly settings: Settings<R>;
      /** Accepted link keys, the first of which signs; empty for `standins`. */
      readonly linkKeys: readonly string[];
    }
  | { readonly kind: 'problems'; readonly problems: readonly IniProblem[] };

function toSectionValues(
  file: IniFile,
): Readonly<Record<string, Readonly<Record<string, string>>>> {
  return Object.fromEntries(
    file.sections.map((section) => [section.name, Object.fromEntries(section.values)]),
  );
}

/**
 * Merges sections of the same name, so that the schema checks every key. The parser has already
 * reported the repetition as a problem.
 */
function mergeSections(file: IniFile): IniFile {
  const merged = new Map<string, IniSection>();
  file.sections.forEach((section) => {
    const first = merged.get(section.name);
    const values = new Map([...section.values, ...(first?.values ?? [])]);
    const lines = new Map([...section.lines, ...(first?.lines ?? [])]);
    merged.set(section.name, { ...section, line: first?.line ?? section.line, values, lines });
  });
  return { ...file, sections: [...merged.values()] };
}

/** Adds the key and value on a problem's line to its message, such as those of a repeated key. */
function addOffendingValue(problem: IniProblem, lines: readonly string[]): IniProblem {
  const match = /^\s*([\w.-]+)\s*=\s*(.*?)\s*$/.exec(lines[problem.line - 1] ?? '');
  if (match === null) return problem;
  const [, key = '', value = ''] = match;
  return { ...problem, message: `${key} = ${quoteOrMask(key, value)}: ${problem.message}` };
}

function findLinkKeySource(file: IniFile): LinkKeySource | undefined {
  const section = file.sections.find(({ name }) => name === 'link');
  const [env, path] = [section?.values.get('key_env'), section?.values.get('key_file')];
  if ((env === undefined) === (path === undefined)) return undefined;
  return { key_env: env, key_file: path };
}

/** Reads the link keys that a file refers to, so that key problems are reported with all others. */
function checkLinkKey(
  role: SettingsRole,
  file: IniFile,
): { readonly keys: readonly string[]; readonly problems: readonly IniProblem[] } {
  const source = role === 'standins' ? undefined : findLinkKeySource(file);
  if (source === undefined) return { keys: [], problems: [] };
  const result = readLinkKey(source);
  if (result.kind === 'keys') return { keys: result.keys, problems: [] };
  const section = file.sections.find(({ name }) => name === 'link');
  const key = source.key_env === undefined ? 'key_file' : 'key_env';
  const reference = source.key_env ?? source.key_file;
  const message = `[link] ${key} = "${reference}": ${result.message}`;
  return {
    keys: [],
    problems: [{ file: file.file, line: section?.lines.get(key) ?? 1, message }],
  };
}

/**
 * Parses and validates the settings of a command.
 *
 * @param role The command.
 * @param name File name, for messages.
 * @param text File content.
 * @returns The settings, or all problems in line order, with remedies.
 */
export function readSettings<R extends SettingsRole>(
  role: R,
  name: string,
  text: string,
): SettingsResult<R> {
  const file = mergeSections(parseIni(name, text));
  const lines = text.split(/\r?\n/);
  const result = SETTINGS_SCHEMAS[role].safeParse(toSectionValues(file));
  const issues = result.success ? [] : result.error.issues;
  const linkKey = checkLinkKey(role, file);
  const problems = [
    ...file.problems.map((problem) => addOffendingValue(problem, lines)),
    ...issues.flatMap((issue) => describeIssue(file, issue as SettingsIssue)),
    ...linkKey.problems,
  ].sort((a, b) => a.line - b.line);
  if (!result.success || problems.length > 0) return { kind: 'problems', problems };
  return { kind: 'settings', settings: result.data as Settings<R>, linkKeys: linkKey.keys };
}
