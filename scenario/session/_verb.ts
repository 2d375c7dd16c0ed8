import { ScenarioError } from '../language/mod.ts';
import type { ScenarioLine, VerbShape } from '../language/mod.ts';
import type { Session } from './session.ts';

/** One verb of the scenario language. */
export type Verb = VerbShape & {
  readonly run: (session: Session, line: ScenarioLine) => Promise<void> | void;
};

/** A table of verbs by name. */
export type VerbTable = Readonly<Record<string, Verb>>;

/** Returns the word at an index after the verb, or `''` when the line has no such word. */
export function wordAt(line: ScenarioLine, index: number): string {
  return line.words[index] ?? '';
}

/**
 * Parses a number that is not negative.
 *
 * @param fallback Value when the text is undefined. @default 0
 * @throws {ScenarioError} When the text is not a number, or negative.
 */
export function parseNumber(line: ScenarioLine, text: string | undefined, fallback = 0): number {
  if (text === undefined) return fallback;
  const value = Number(text);
  if (text === '' || !Number.isFinite(value) || value < 0) {
    throw new ScenarioError(line, `"${text}" is not a number; write a number of at least 0`);
  }
  return value;
}

/**
 * Returns the item with the name that a line gives.
 *
 * @throws {ScenarioError} When no item has that name; lists the names that exist.
 */
export function findNamed<T>(line: ScenarioLine, items: ReadonlyMap<string, T>, name: string): T {
  const found = items.get(name);
  if (found !== undefined) return found;
  const known = [...items.keys()].join(', ');
  throw new ScenarioError(line, `"${name}" does not exist in this session; use one of: ${known}`);
}
