import { parseIni } from '../ini/mod.ts';
import type { IniProblem, IniSection } from '../ini/mod.ts';
import type { SetObject } from './objects.ts';
import { OBJECT_KINDS } from './objects.ts';
import { isObjectKind, parseObject } from './_schemas.ts';

/** One INI file of a set. */
export type SetFile = { readonly file: string; readonly text: string };

/** An object and the location of its declaration. */
export type Declaration = {
  readonly object: SetObject;
  readonly file: string;
  readonly line: number;
};

/** The valid declarations of a set's files, and all syntax and validation errors. */
export type ParsedSet = {
  readonly declarations: readonly Declaration[];
  readonly problems: readonly IniProblem[];
};

type SectionResult = {
  readonly declaration?: Declaration;
  readonly problems: readonly IniProblem[];
};

function parseSection(file: string, section: IniSection): SectionResult {
  const separator = section.name.indexOf(' ');
  const kind = section.name.slice(0, separator === -1 ? undefined : separator);
  const name = separator === -1 ? '' : section.name.slice(separator + 1);
  const { line } = section;
  if (!isObjectKind(kind)) {
    const message = `[${section.name}] has an unknown kind; use one of ${OBJECT_KINDS.join(', ')}`;
    return { problems: [{ file, line, message }] };
  }
  if (name === '') {
    return { problems: [{ file, line, message: `[${kind}] has no name; write [${kind} NAME]` }] };
  }
  const result = parseObject(kind, { ...Object.fromEntries(section.values), name });
  if (result.kind === 'object') {
    return { declaration: { object: result.object, file, line }, problems: [] };
  }
  const problems = result.problems.map((problem) => ({
    file,
    line: section.lines.get(problem.key) ?? line,
    message: `${kind} ${name}: ${problem.key} ${problem.message}`,
  }));
  return { problems };
}

/**
 * Parses the files of a set.
 *
 * @param files The files in any order.
 * @returns All valid objects, and all problems in all files.
 */
export function parseSet(files: readonly SetFile[]): ParsedSet {
  const declarations: Declaration[] = [];
  const problems: IniProblem[] = [];
  for (const { file, text } of files) {
    const parsed = parseIni(file, text);
    problems.push(...parsed.problems);
    for (const section of parsed.sections) {
      const result = parseSection(file, section);
      if (result.declaration !== undefined) declarations.push(result.declaration);
      problems.push(...result.problems);
    }
  }
  return { declarations, problems };
}
