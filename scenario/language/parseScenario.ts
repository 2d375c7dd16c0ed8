import { parseArgsStringToArgv } from 'string-argv';
import { ScenarioError } from './scenarioError.ts';

/** What may follow a verb. */
export type VerbShape = {
  /** The verb's line as an author writes it. */
  readonly usage: string;
  /** Fewest and most words after the verb. */
  readonly words: readonly [number, number];
  /** Names of `name=value` options. */
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

/** A whole scenario. */
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
  const shape = Object.hasOwn(verbs, line.verb) ? verbs[line.verb] : undefined;
  if (shape === undefined) {
    const allowed = Object.keys(verbs).sort().join(', ');
    throw new ScenarioError(line, `"${line.verb}" is not a verb; use one of: ${allowed}`);
  }
  const [fewest, most] = shape.words;
  const isCountRight = line.words.length >= fewest && line.words.length <= most;
  const wrong = Object.keys(line.options).find((name) => !shape.options?.includes(name));
  if (!isCountRight || wrong !== undefined) {
    throw new ScenarioError(line, `write it as: ${shape.usage}`);
  }
}

/**
 * Reads a scenario; empty lines and lines that begin with `#` are skipped.
 *
 * @param file Name for error messages.
 * @param text The scenario's text.
 * @param verbs The verbs allowed.
 * @throws {ScenarioError} When a line is wrong; names file, line and what is allowed.
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
