import type { CallerRequest } from '../../tasks/entry/mod.ts';
import type { ScenarioLine } from '../language/mod.ts';
import type { Session } from './session.ts';
import { findNamed, parseNumber, wordAt } from './_verb.ts';
import type { Verb, VerbTable } from './_verb.ts';

const SERVICE = 't/s';

const DEFAULT_TIMEOUT_MS = 30_000;

const DEFAULT_MAX_TOKENS = 8;

const MINT_TIMEOUT_MS = 60_000;

function submit(session: Session, line: ScenarioLine, name: string, request: CallerRequest): void {
  const entry = wordAt(line, 1);
  findNamed(line, session.entries, entry);
  session.submit(name, entry, request, parseNumber(line, line.options.timeout, DEFAULT_TIMEOUT_MS));
}

/** Submits a call with the key of an earlier request; all calls with one key have the same body. */
function submitCallWithKey(session: Session, line: ScenarioLine, source: string): void {
  const key = findNamed(line, session.keys, source);
  const earlier = [...session.observer.requests.values()].find(
    ({ request }) => request.kind === 'service-call' && request.key === key,
  );
  const name = wordAt(line, 0);
  const body = earlier?.request.kind === 'service-call' ? earlier.request.body : name;
  submit(session, line, name, { kind: 'service-call', service: SERVICE, key, body });
}

async function submitCallWithNewKey(session: Session, line: ScenarioLine): Promise<void> {
  const mint = `${wordAt(line, 0)}-key`;
  submit(session, line, mint, { kind: 'mint-key', service: SERVICE });
  await session.advanceUntil(() => session.hasEnded(mint), MINT_TIMEOUT_MS);
  submitCallWithKey(session, line, mint);
}

function createKeyVerb(kind: 'lookup-key' | 'revoke-key', usage: string): Verb {
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

/** Verbs that submit and cancel callers' requests. */
export const REQUEST_VERBS: VerbTable = {
  call: {
    usage: 'call NAME ENTRY MODEL [tokens=N] [timeout=MILLISECONDS]',
    words: [3, 3],
    options: ['tokens', 'timeout'],
    run: (session, line) => {
      const name = wordAt(line, 0);
      const maxTokens = parseNumber(line, line.options.tokens, DEFAULT_MAX_TOKENS);
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
    run: submitCallWithNewKey,
  },
  again: {
    usage: 'again NAME ENTRY REQUEST [timeout=MILLISECONDS]',
    words: [3, 3],
    options: ['timeout'],
    run: (session, line) => submitCallWithKey(session, line, wordAt(line, 2)),
  },
  lookup: createKeyVerb('lookup-key', 'lookup NAME ENTRY REQUEST [timeout=MILLISECONDS]'),
  revoke: createKeyVerb('revoke-key', 'revoke NAME ENTRY REQUEST [timeout=MILLISECONDS]'),
  abandon: {
    usage: 'abandon REQUEST',
    words: [1, 1],
    run: (session, line) => {
      const { entry, name } = findNamed(line, session.observer.requests, wordAt(line, 0));
      session.entries.get(entry)?.task.abandon(name);
    },
  },
};
