import { bucketOf, nameInLine, linePrefix, splitLines } from './_buckets.ts';
import type { ObjectKind, SetObject } from './objects.ts';

/**
 * A read-only table that parses objects from the text of their parts when they are looked up.
 *
 * It keeps no parsed objects in memory, and needs no rebuild for parts that did not change.
 */
export class PackedTable<T extends SetObject> {
  readonly #kind: ObjectKind;

  readonly #texts: readonly string[];

  /** @param texts The texts of all parts of `kind`, in the order of their buckets. */
  constructor(kind: T['kind'], texts: readonly string[]) {
    this.#kind = kind;
    this.#texts = texts;
  }

  /** The number of objects. */
  get size(): number {
    return this.#texts.reduce((sum, text) => sum + splitLines(text).length, 0);
  }

  /** Looks up and parses the object of a name. */
  get(name: string): T | undefined {
    const text = this.#texts[bucketOf(name, this.#texts.length)];
    if (text === undefined) return undefined;
    const start = text.indexOf(linePrefix(this.#kind, name));
    if (start === -1) return undefined;
    const end = text.indexOf('\n', start);
    return JSON.parse(text.slice(start, end === -1 ? undefined : end)) as T;
  }

  /** Returns whether there is an object of a name. */
  has(name: string): boolean {
    return this.get(name) !== undefined;
  }

  /** Iterates over all names without parsing the objects. */
  *keys(): Generator<string> {
    for (const text of this.#texts) {
      for (const line of splitLines(text)) yield nameInLine(line);
    }
  }

  /** Iterates over all objects. */
  *values(): Generator<T> {
    for (const text of this.#texts) {
      for (const line of splitLines(text)) yield JSON.parse(line) as T;
    }
  }
}
