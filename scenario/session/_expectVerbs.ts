import { ScenarioError } from '../language/mod.ts';
import type { ScenarioLine } from '../language/mod.ts';
import type { Session } from './session.ts';
import { findNamed, numberOf, wordAt } from './_verb.ts';
import type { VerbTable } from './_verb.ts';

/** What an `expect` line may look at; returns what is there, to compare with its last word. */
type Subject = (session: Session, line: ScenarioLine) => string | number;

function outcomeOf(session: Session, line: ScenarioLine): string {
  const { outcome } = findNamed(line, session.observer.requests, wordAt(line, 1));
  if (outcome === undefined) return 'open';
  return outcome.kind === 'done' ? 'done' : `${outcome.kind}:${outcome.reason}`;
}

const SUBJECTS: Readonly<Record<string, Subject>> = {
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
    return gate.dead ? 'ended' : 'runs';
  },
};

const ALLOWED = Object.keys(SUBJECTS).join(', ');

/** Compares with alternatives parted by `|`; an alternative may leave the reason off. */
function matches(found: string, wanted: string): boolean {
  return wanted.split('|').some((each) => found === each || found.startsWith(`${each}:`));
}

/** Verbs that check what has happened. */
export const EXPECT_VERBS: VerbTable = {
  expect: {
    usage: `expect SUBJECT NAME VALUE, with SUBJECT one of: ${ALLOWED}`,
    words: [3, 3],
    run: (session, line) => {
      const subject = wordAt(line, 0);
      const look = Object.hasOwn(SUBJECTS, subject) ? SUBJECTS[subject] : undefined;
      if (look === undefined) {
        throw new ScenarioError(line, `"${subject}" cannot be expected; use one of: ${ALLOWED}`);
      }
      const found = String(look(session, line));
      if (!matches(found, wordAt(line, 2))) {
        throw new ScenarioError(line, `expected ${wordAt(line, 2)}, found ${found}`);
      }
    },
  },
  'expect-ended-within': {
    usage: 'expect-ended-within REQUEST MILLISECONDS',
    words: [2, 2],
    run: (session, line) => {
      const { endedAt, submittedAt } = findNamed(line, session.observer.requests, wordAt(line, 0));
      const limit = numberOf(line, wordAt(line, 1));
      if (endedAt === undefined || endedAt - submittedAt > limit) {
        throw new ScenarioError(line, `the request did not end within ${limit} ms`);
      }
    },
  },
};
