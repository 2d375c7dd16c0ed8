import murmurhash from 'murmurhash';
import type { ObjectKind, SetObject } from './objects.ts';

/** Average size of a part above which the number of buckets doubles. */
const PART_TARGET_BYTES = 64_000;

const LINE_NAME = /^\{"kind":"[a-z_]+","name":"([^"]*)"/;

/** Returns the start of an object's line, up to and including its name. */
export function linePrefix(kind: ObjectKind, name: string): string {
  return `{"kind":"${kind}","name":"${name}"`;
}

/** Formats an object as one line of a part: JSON that starts with `kind` and `name`. */
export function formatLine(object: SetObject): string {
  const { kind, name, ...rest } = object;
  return JSON.stringify({ kind, name, ...rest });
}

/** Returns the name of the object in a line. */
export function nameInLine(line: string): string {
  return LINE_NAME.exec(line)?.[1] ?? '';
}

/** Splits the text of a part into lines. */
export function splitLines(text: string): readonly string[] {
  return text === '' ? [] : text.split('\n');
}

/** Returns the index of the hash bucket of a name. */
export function bucketOf(name: string, count: number): number {
  return murmurhash.v3(name) % count;
}

/** Returns the number of buckets, a power of two, for lines of a total length in bytes. */
export function bucketCount(bytes: number): number {
  return 2 ** Math.max(0, Math.ceil(Math.log2(Math.max(1, bytes) / PART_TARGET_BYTES)));
}

/** Sorts lines by name and joins them into the text of a part. */
export function joinLines(lines: Iterable<string>): string {
  return [...lines].sort((a, b) => (nameInLine(a) < nameInLine(b) ? -1 : 1)).join('\n');
}
