import { parseArgsStringToArgv } from 'string-argv';
import { ScenarioError } from './scenarioError.ts';

/** Syntax of a verb. */
export type VerbShape = {
  /** Usage text, printed when a line is invalid. */
  readonly usage: string;
  /** Minimum and maximum number of words after the verb. */
  readonly words: readonly [number, number];
  /** Names of the allowed `name=value` options. */
  readonly options?: readonly string[];
};

/** One step of a scenario. */
export type ScenarioLine = {
  readonly file: string;
  readonly line: number;
  readonly text: string;
  readonly verb: string;
  readonly words: readonly string[];
  readonly options: Readonly<Record<string, string>>;
};

/** A parsed scenario. */
export type Scenario = { readonly file: string; readonly lines: readonly ScenarioLine[] };

const OPTION = /^([a-z-]+)=(.*)$/;

function readLine(file: string, line: number, text: string): ScenarioLine {
  const [verb = '', ...rest] = parseArgsStringToArgv(text);
  const options: Record<string, string> = {};
  const words: string[] = [];
  for (const word of rest) {
    const match = OPTION.exec(word);
    if (match === null) words.push(word);
    else options[match[1]!] = match[2]!;
  }
  return { file, line, text, verb, words, options };
}

function checkLine(line: ScenarioLine, verbs: Readonly<Record<string, VerbShape>>): void {
  const verbShape = Object.hasOwn(verbs, line.verb) ? verbs[line.verb] : undefined;
  if (verbShape === undefined) {
    const allowed = Object.keys(verbs).sort().join(', ');
    throw new ScenarioError(line, `"${line.verb}" is not a verb; use one of: ${allowed}`);
  }
  const [min, max] = verbShape.words;
  const isCountRight = line.words.length >= min && line.words.length <= max;
  const unknownOption = Object.keys(line.options).find(
    (name) => !verbShape.options?.includes(name),
  );
  if (!isCountRight || unknownOption !== undefined) {
    throw new ScenarioError(line, `write it as: ${verbShape.usage}`);
  }
}

/**
 * Parses a scenario; skips empty lines and lines that begin with `#`.
 *
 * @param file Name for error messages.
 * @param text The scenario's text.
 * @param verbs The allowed verbs by name.
 * @throws {ScenarioError} When a line is invalid; names file, line and what is allowed.
 */
export function parseScenario(
  file: string,
  text: string,
  verbs: Readonly<Record<string, VerbShape>>,
): Scenario {
  const lines = text
    .split('\n')
    .map((each, index) => ({ text: each.trim(), line: index + 1 }))
    .filter((each) => each.text !== '' && !each.text.startsWith('#'))
    .map((each) => readLine(file, each.line, each.text));
  lines.forEach((line) => checkLine(line, verbs));
  return { file, lines };
}
