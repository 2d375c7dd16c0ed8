import type { IniFile, IniProblem, IniSection } from '../core/ini/mod.ts';
import { EXAMPLE_VALUES } from './_examples.ts';

/** A validation issue reported by a settings schema: the fields used of a Zod issue. */
export type SettingsIssue = {
  readonly path: readonly PropertyKey[];
  readonly message: string;
  readonly code?: string | undefined;
  readonly keys?: readonly string[];
  readonly issues?: readonly { readonly message: string }[];
};

const SECRET_KEY = /key|token|secret|password/i;

/** Keys that name where a secret is stored, not the secret itself. */
const SECRET_REFERENCE_KEY = /_(env|file)$/;

/** Quotes a value for messages, or masks it if its key holds a secret. */
export function quoteOrMask(key: string, value: string): string {
  return SECRET_KEY.test(key) && !SECRET_REFERENCE_KEY.test(key) ? '(masked)' : `"${value}"`;
}

function findSection(file: IniFile, name: string | undefined): IniSection | undefined {
  return file.sections.find((each) => each.name === name);
}

function describeUnrecognized(
  file: IniFile,
  sectionName: string | undefined,
  unknownName: string,
): IniProblem {
  const section = findSection(file, sectionName ?? unknownName);
  const remedy = 'is unknown; remove it or correct its spelling, see docs/SETTINGS.md';
  if (sectionName === undefined) {
    return {
      file: file.file,
      line: section?.line ?? 1,
      message: `section [${unknownName}] ${remedy}`,
    };
  }
  const value = quoteOrMask(unknownName, section?.values.get(unknownName) ?? '');
  const line = section?.lines.get(unknownName) ?? section?.line ?? 1;
  return { file: file.file, line, message: `[${sectionName}] ${unknownName} = ${value} ${remedy}` };
}

function describeMissing(file: IniFile, section: IniSection, key: string): IniProblem {
  const example = EXAMPLE_VALUES[section.name]?.[key];
  const remedy = example === undefined ? 'add it' : `add it, such as ${key} = ${example}`;
  const message = `[${section.name}] ${key} is missing; ${remedy}`;
  return { file: file.file, line: section.line, message };
}

/** Converts a schema issue to problems with line numbers and remedies. */
export function describeIssue(file: IniFile, issue: SettingsIssue): readonly IniProblem[] {
  const [sectionName, key] = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return (issue.keys ?? []).map((unknown) => describeUnrecognized(file, sectionName, unknown));
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
  const assignment = value === undefined ? '' : ` = ${quoteOrMask(key, value)}`;
  const requirement = issue.issues?.[0]?.message ?? issue.message;
  const line = section.lines.get(key) ?? section.line;
  return [
    { file: file.file, line, message: `[${section.name}] ${key}${assignment} ${requirement}` },
  ];
}
