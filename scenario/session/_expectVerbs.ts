import { ScenarioError } from '../language/mod.ts';
import type { ScenarioLine } from '../language/mod.ts';
import type { Session } from './session.ts';
import { findNamed, parseNumber, wordAt } from './_verb.ts';
import type { VerbTable } from './_verb.ts';

/** Reads the actual value of a subject of `expect`, to compare with the line's last word. */
type ReadSubject = (session: Session, line: ScenarioLine) => string | number;

function outcomeOf(session: Session, line: ScenarioLine): string {
  const { outcome } = findNamed(line, session.observer.requests, wordAt(line, 1));
  if (outcome === undefined) return 'open';
  return outcome.kind === 'done' ? 'done' : `${outcome.kind}:${outcome.reason}`;
}

const SUBJECTS: Readonly<Record<string, ReadSubject>> = {
  outcome: outcomeOf,
  answer: (session, line) => findNamed(line, session.observer.requests, wordAt(line, 1)).text,
  body: (session, line) => findNamed(line, session.observer.requests, wordAt(line, 1)).body,
  host: (session, line) => findNamed(line, session.observer.requests, wordAt(line, 1)).host,
  effects: (session, line) =>
    session.observer.effects.filter((body) => body === wordAt(line, 1)).length,
  loads: (session, line) =>
    findNamed(line, session.sidecars, wordAt(line, 1)).engine?.orders.filter(
      ({ order, reply }) => order.kind === 'load' && reply === 'obeyed',
    ).length ?? 0,
  unloads: (session, line) =>
    findNamed(line, session.sidecars, wordAt(line, 1)).engine?.orders.filter(
      ({ order, reply }) => order.kind === 'unload' && reply === 'obeyed',
    ).length ?? 0,
  generation: (session, line) => {
    const host = wordAt(line, 1);
    const entry = session.entries.get(host);
    return (entry ?? findNamed(line, session.sidecars, host).process).task.status().generation;
  },
  logged: (session, line) =>
    session.journal.some((each) => each.includes(` ${wordAt(line, 1)}`)) ? 'yes' : 'no',
  process: (session, line) => {
    const host = wordAt(line, 1);
    const entry = session.entries.get(host);
    const { gate } = entry ?? findNamed(line, session.sidecars, host).process;
    return gate.isKilled ? 'ended' : 'runs';
  },
};

const SUBJECT_NAMES = Object.keys(SUBJECTS).join(', ');

/** Compares a value with alternatives separated by `|`; an alternative may omit the `:reason`. */
function matchesExpected(actual: string, expected: string): boolean {
  return expected.split('|').some((each) => actual === each || actual.startsWith(`${each}:`));
}

/** Verbs that check expectations. */
export const EXPECT_VERBS: VerbTable = {
  expect: {
    usage: `expect SUBJECT NAME VALUE, with SUBJECT one of: ${SUBJECT_NAMES}`,
    words: [3, 3],
    run: (session, line) => {
      const subject = wordAt(line, 0);
      const read = Object.hasOwn(SUBJECTS, subject) ? SUBJECTS[subject] : undefined;
      if (read === undefined) {
        throw new ScenarioError(
          line,
          `"${subject}" is not a subject of "expect"; use one of: ${SUBJECT_NAMES}`,
        );
      }
      const actual = String(read(session, line));
      if (!matchesExpected(actual, wordAt(line, 2))) {
        throw new ScenarioError(line, `expected ${wordAt(line, 2)}, found ${actual}`);
      }
    },
  },
  'expect-ended-within': {
    usage: 'expect-ended-within REQUEST MILLISECONDS',
    words: [2, 2],
    run: (session, line) => {
      const { endedAt, submittedAt } = findNamed(line, session.observer.requests, wordAt(line, 0));
      const limit = parseNumber(line, wordAt(line, 1));
      if (endedAt === undefined || endedAt - submittedAt > limit) {
        throw new ScenarioError(line, `the request did not end within ${limit} ms`);
      }
    },
  },
};
