import type { IniFile, IniProblem, IniSection } from '../core/ini/mod.ts';
import { EXAMPLES } from './_examples.ts';

/** What the schema says of one wrong setting. */
export type SettingsIssue = {
  readonly path: readonly PropertyKey[];
  readonly message: string;
  readonly code?: string | undefined;
  readonly keys?: readonly string[];
  readonly issues?: readonly { readonly message: string }[];
};

const SECRET_KEY = /key|token|secret|password/i;

/** Keys that tell where a secret is, and not the secret. */
const PLACE_KEY = /_(env|file)$/;

/** Returns a value as messages show it, with secrets masked. */
export function showValue(key: string, value: string): string {
  return SECRET_KEY.test(key) && !PLACE_KEY.test(key) ? '(masked)' : `"${value}"`;
}

function findSection(file: IniFile, name: string | undefined): IniSection | undefined {
  return file.sections.find((each) => each.name === name);
}

function describeUnknown(
  file: IniFile,
  sectionName: string | undefined,
  unknown: string,
): IniProblem {
  const section = findSection(file, sectionName ?? unknown);
  const remedy = 'is not known; remove it or correct its spelling, see docs/SETTINGS.md';
  if (sectionName === undefined) {
    return {
      file: file.file,
      line: section?.line ?? 1,
      message: `section [${unknown}] ${remedy}`,
    };
  }
  const value = showValue(unknown, section?.values.get(unknown) ?? '');
  const line = section?.lines.get(unknown) ?? section?.line ?? 1;
  return { file: file.file, line, message: `[${sectionName}] ${unknown} = ${value} ${remedy}` };
}

function describeMissing(file: IniFile, section: IniSection, key: string): IniProblem {
  const example = EXAMPLES[section.name]?.[key];
  const remedy = example === undefined ? 'add it' : `add it, such as ${key} = ${example}`;
  const message = `[${section.name}] ${key} is missing; ${remedy}`;
  return { file: file.file, line: section.line, message };
}

/** Turns an issue of the schema into problems with their lines and remedies. */
export function describeIssue(file: IniFile, issue: SettingsIssue): readonly IniProblem[] {
  const [sectionName, key] = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return (issue.keys ?? []).map((unknown) => describeUnknown(file, sectionName, unknown));
  }
  const section = findSection(file, sectionName);
  if (section === undefined) {
    const message = `section [${sectionName}] is missing; add it, see docs/SETTINGS.md`;
    return [{ file: file.file, line: 1, message }];
  }
  if (key === undefined) {
    const message = `[${section.name}] ${issue.message}`;
    return [{ file: file.file, line: section.line, message }];
  }
  const value = section.values.get(key);
  if (value === undefined && issue.code !== 'custom') return [describeMissing(file, section, key)];
  const shown = value === undefined ? '' : ` = ${showValue(key, value)}`;
  const wanted = issue.issues?.[0]?.message ?? issue.message;
  const line = section.lines.get(key) ?? section.line;
  return [{ file: file.file, line, message: `[${section.name}] ${key}${shown} ${wanted}` }];
}
