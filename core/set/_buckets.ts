import murmurhash from 'murmurhash';
import type { ObjectKind, SetObject } from './objects.ts';

const PART_TARGET_BYTES = 64_000;

const NAME = /^\{"kind":"[a-z_]+","name":"([^"]*)"/;

/** Returns how the line of an object begins. */
export function linePrefix(kind: ObjectKind, name: string): string {
  return `{"kind":"${kind}","name":"${name}"`;
}

/** Writes an object as the line that stands for it in a part. */
export function formatLine(object: SetObject): string {
  const { kind, name, ...rest } = object;
  return JSON.stringify({ kind, name, ...rest });
}

/** Returns the name of the object in a line. */
export function lineName(line: string): string {
  return NAME.exec(line)?.[1] ?? '';
}

/** Splits the text of a part into lines. */
export function splitLines(text: string): readonly string[] {
  return text === '' ? [] : text.split('\n');
}

/** Returns the bucket of a name among the buckets of its kind. */
export function bucketOf(name: string, count: number): number {
  return murmurhash.v3(name) % count;
}

/** Returns how many buckets hold lines of a total length. */
export function bucketCount(bytes: number): number {
  return 2 ** Math.max(0, Math.ceil(Math.log2(Math.max(1, bytes) / PART_TARGET_BYTES)));
}

/** Orders lines by name and joins them into the text of a part. */
export function joinLines(lines: Iterable<string>): string {
  return [...lines].sort((a, b) => (lineName(a) < lineName(b) ? -1 : 1)).join('\n');
}
