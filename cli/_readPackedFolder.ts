import { existsSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { OBJECT_KINDS, parseHead, unpackSet } from '../core/set/mod.ts';
import type { SetParts, SetHead } from '../core/set/mod.ts';
import { readFileOrExplain, refusal } from './_readFileOrExplain.ts';
import type { Refusal } from './_readFileOrExplain.ts';

/** A packed set that was read back from its folder. */
export type PackedFolder = {
  readonly kind: 'packed';
  readonly head: SetHead;
  readonly setParts: SetParts;
};

/** Reads the packed set whose head stands in a file, with the parts beside it. */
export async function readPackedFolder(name: string): Promise<PackedFolder | Refusal> {
  const file = readFileOrExplain(name);
  if (file.kind === 'refusal') return file;
  const head = parseHead(file.text);
  if ('kind' in head) return refusal(`${name}: ${head.detail}`);
  const read = (value: string): Promise<string | undefined> => {
    const path = join(dirname(name), value);
    return Promise.resolve(existsSync(path) ? readFileSync(path, 'utf8') : undefined);
  };
  const setParts = await unpackSet(head, read, new Set(OBJECT_KINDS));
  if ('kind' in setParts) return refusal(`${name}: ${setParts.detail}`);
  return { kind: 'packed', head, setParts };
}
