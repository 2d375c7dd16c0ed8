import { checkSet, parseSet } from '../core/set/mod.ts';
import type { SetFile, SetObject } from '../core/set/mod.ts';
import { readTextFile, failureFromProblems } from './_readInputFile.ts';
import type { Failure } from './_readInputFile.ts';

/** Reads the files of a set and validates them together. */
export function checkSetFiles(
  fileNames: readonly string[],
): { readonly kind: 'objects'; readonly objects: readonly SetObject[] } | Failure {
  const files: SetFile[] = [];
  for (const name of fileNames) {
    const file = readTextFile(name);
    if (file.kind === 'failure') return file;
    files.push({ file: name, text: file.text });
  }
  const parsed = parseSet(files);
  const check = checkSet(parsed.declarations);
  const problems = [...parsed.problems, ...check.problems];
  if (problems.length > 0) return failureFromProblems(problems);
  return { kind: 'objects', objects: check.objects };
}
