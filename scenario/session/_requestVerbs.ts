import type { CallerRequest } from '../../tasks/entry/mod.ts';
import type { ScenarioLine } from '../language/mod.ts';
import type { Session } from './session.ts';
import { findNamed, numberOf, wordAt } from './_verb.ts';
import type { Verb, VerbTable } from './_verb.ts';

const SERVICE = 't/s';

const TIMEOUT_MS = 30_000;

const TOKENS = 8;

const MINT_WITHIN_MS = 60_000;

function submit(session: Session, line: ScenarioLine, name: string, request: CallerRequest): void {
  const entry = wordAt(line, 1);
  findNamed(line, session.entries, entry);
  session.submit(name, entry, request, numberOf(line, line.options.timeout, TIMEOUT_MS));
}

/** Uses the key of an earlier request; each key has one body. */
function useKey(session: Session, line: ScenarioLine, source: string): void {
  const key = findNamed(line, session.keys, source);
  const earlier = [...session.observer.requests.values()].find(
    ({ request }) => request.kind === 'service-call' && request.key === key,
  );
  const name = wordAt(line, 0);
  const body = earlier?.request.kind === 'service-call' ? earlier.request.body : name;
  submit(session, line, name, { kind: 'service-call', service: SERVICE, key, body });
}

async function book(session: Session, line: ScenarioLine): Promise<void> {
  const mint = `${wordAt(line, 0)}-key`;
  submit(session, line, mint, { kind: 'mint-key', service: SERVICE });
  await session.advanceUntil(() => session.hasEnded(mint), MINT_WITHIN_MS);
  useKey(session, line, mint);
}

function aboutKey(kind: 'lookup-key' | 'revoke-key', usage: string): Verb {
  return {
    usage,
    words: [3, 3],
    options: ['timeout'],
    run: (session, line) => {
      const key = findNamed(line, session.keys, wordAt(line, 2));
      submit(session, line, wordAt(line, 0), { kind, service: SERVICE, key });
    },
  };
}

/** Verbs by which callers ask. */
export const REQUEST_VERBS: VerbTable = {
  call: {
    usage: 'call NAME ENTRY MODEL [tokens=N] [timeout=MILLISECONDS]',
    words: [3, 3],
    options: ['tokens', 'timeout'],
    run: (session, line) => {
      const name = wordAt(line, 0);
      const maxTokens = numberOf(line, line.options.tokens, TOKENS);
      const model = wordAt(line, 2);
      submit(session, line, name, {
        kind: 'completion',
        model,
        prompt: name,
        maxTokens,
        priority: 0,
      });
    },
  },
  mint: {
    usage: 'mint NAME ENTRY [timeout=MILLISECONDS]',
    words: [2, 2],
    options: ['timeout'],
    run: (session, line) =>
      submit(session, line, wordAt(line, 0), { kind: 'mint-key', service: SERVICE }),
  },
  book: {
    usage: 'book NAME ENTRY [timeout=MILLISECONDS]',
    words: [2, 2],
    options: ['timeout'],
    run: book,
  },
  again: {
    usage: 'again NAME ENTRY REQUEST [timeout=MILLISECONDS]',
    words: [3, 3],
    options: ['timeout'],
    run: (session, line) => useKey(session, line, wordAt(line, 2)),
  },
  lookup: aboutKey('lookup-key', 'lookup NAME ENTRY REQUEST [timeout=MILLISECONDS]'),
  revoke: aboutKey('revoke-key', 'revoke NAME ENTRY REQUEST [timeout=MILLISECONDS]'),
  abandon: {
    usage: 'abandon REQUEST',
    words: [1, 1],
    run: (session, line) => {
      const { entry, name } = findNamed(line, session.observer.requests, wordAt(line, 0));
      session.entries.get(entry)?.task.abandon(name);
    },
  },
};
