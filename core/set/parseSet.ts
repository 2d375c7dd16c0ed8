import { parseIni } from '../ini/mod.ts';
import type { IniProblem, IniSection } from '../ini/mod.ts';
import type { SetObject } from './objects.ts';
import { OBJECT_KINDS } from './objects.ts';
import { isObjectKind, readObject } from './_schemas.ts';

/** One file that operators wrote. */
export type SetFile = { readonly file: string; readonly text: string };

/** An object and the place where it is declared. */
export type Declaration = {
  readonly object: SetObject;
  readonly file: string;
  readonly line: number;
};

/** The declarations of a set of files and every problem in their form. */
export type ParsedSet = {
  readonly declarations: readonly Declaration[];
  readonly problems: readonly IniProblem[];
};

type SectionReading = {
  readonly declaration?: Declaration;
  readonly problems: readonly IniProblem[];
};

function readSection(file: string, section: IniSection): SectionReading {
  const space = section.name.indexOf(' ');
  const kind = section.name.slice(0, space === -1 ? undefined : space);
  const name = space === -1 ? '' : section.name.slice(space + 1);
  const { line } = section;
  if (!isObjectKind(kind)) {
    const message = `[${section.name}] is not of a known kind; use one of ${OBJECT_KINDS.join(', ')}`;
    return { problems: [{ file, line, message }] };
  }
  if (name === '') {
    return { problems: [{ file, line, message: `[${kind}] has no name; write [${kind} NAME]` }] };
  }
  const reading = readObject(kind, { ...Object.fromEntries(section.values), name });
  if (reading.kind === 'object') {
    return { declaration: { object: reading.object, file, line }, problems: [] };
  }
  const problems = reading.problems.map((problem) => ({
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
 * @returns Every well-formed object, and every problem in all files.
 */
export function parseSet(files: readonly SetFile[]): ParsedSet {
  const declarations: Declaration[] = [];
  const problems: IniProblem[] = [];
  for (const { file, text } of files) {
    const parsed = parseIni(file, text);
    problems.push(...parsed.problems);
    for (const section of parsed.sections) {
      const reading = readSection(file, section);
      if (reading.declaration !== undefined) declarations.push(reading.declaration);
      problems.push(...reading.problems);
    }
  }
  return { declarations, problems };
}
