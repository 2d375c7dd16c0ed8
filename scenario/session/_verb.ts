import { ScenarioError } from '../language/mod.ts';
import type { ScenarioLine, VerbShape } from '../language/mod.ts';
import type { Session } from './session.ts';

/** One verb of the scenario language. */
export type Verb = VerbShape & {
  readonly run: (session: Session, line: ScenarioLine) => Promise<void> | void;
};

/** A table of verbs by name. */
export type VerbTable = Readonly<Record<string, Verb>>;

/** Returns the word at an index; the parser has checked that it is there. */
export function wordAt(line: ScenarioLine, index: number): string {
  return line.words[index] ?? '';
}

/**
 * Reads a number.
 *
 * @throws {ScenarioError} When the text is not a number.
 */
export function numberOf(line: ScenarioLine, text: string | undefined, fallback = 0): number {
  if (text === undefined) return fallback;
  const value = Number(text);
  if (text === '' || !Number.isFinite(value) || value < 0) {
    throw new ScenarioError(line, `"${text}" is not a number from 0 up; write one`);
  }
  return value;
}

/**
 * Finds something by the name that a line gives.
 *
 * @throws {ScenarioError} When there is nothing of that name.
 */
export function findNamed<T>(line: ScenarioLine, things: ReadonlyMap<string, T>, name: string): T {
  const found = things.get(name);
  if (found !== undefined) return found;
  const known = [...things.keys()].join(', ');
  throw new ScenarioError(line, `"${name}" is not known here; use one of: ${known}`);
}
