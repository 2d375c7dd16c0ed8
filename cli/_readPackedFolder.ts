import { existsSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { OBJECT_KINDS, parseHead, unpackSet } from '../core/set/mod.ts';
import type { SetParts, SetHead } from '../core/set/mod.ts';
import { readTextFile, failure } from './_readInputFile.ts';
import type { Failure } from './_readInputFile.ts';

/** A set read from a folder that `set pack` wrote. */
export type PackedFolder = {
  readonly kind: 'packed';
  readonly head: SetHead;
  readonly setParts: SetParts;
};

/** Reads a packed set from its head file and the part files in the same folder. */
export async function readPackedFolder(headFile: string): Promise<PackedFolder | Failure> {
  const file = readTextFile(headFile);
  if (file.kind === 'failure') return file;
  const head = parseHead(file.text);
  if ('kind' in head) return failure(`${headFile}: ${head.detail}`);
  const readValue = (name: string): Promise<string | undefined> => {
    const path = join(dirname(headFile), name);
    return Promise.resolve(existsSync(path) ? readFileSync(path, 'utf8') : undefined);
  };
  const setParts = await unpackSet(head, readValue, new Set(OBJECT_KINDS));
  if ('kind' in setParts) return failure(`${headFile}: ${setParts.detail}`);
  return { kind: 'packed', head, setParts };
}
