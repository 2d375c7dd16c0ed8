import { checkSet, parseSet } from '../core/set/mod.ts';
import type { SetFile, SetObject } from '../core/set/mod.ts';
import { readFileOrExplain, refusalOf } from './_readFileOrExplain.ts';
import type { Refusal } from './_readFileOrExplain.ts';

/** Reads and checks the files of a set. */
export function checkSetFiles(
  names: readonly string[],
): { readonly kind: 'objects'; readonly objects: readonly SetObject[] } | Refusal {
  const files: SetFile[] = [];
  for (const name of names) {
    const file = readFileOrExplain(name);
    if (file.kind === 'refusal') return file;
    files.push({ file: name, text: file.text });
  }
  const parsed = parseSet(files);
  const check = checkSet(parsed.declarations);
  const problems = [...parsed.problems, ...check.problems];
  if (problems.length > 0) return refusalOf(problems);
  return { kind: 'objects', objects: check.objects };
}
