import { ScenarioError } from '../language/mod.ts';
import { parseNumber, wordAt } from './_verb.ts';
import type { VerbTable } from './_verb.ts';

/** Verbs that start processes, publish sets and advance the clock. */
export const SETUP_VERBS: VerbTable = {
  entry: {
    usage: 'entry HOST',
    words: [1, 1],
    run: (session, line) => session.startEntry(wordAt(line, 0)),
  },
  engine: {
    usage: 'engine HOST [ignores-fencing]',
    words: [1, 2],
    run: (session, line) => session.addEngine(wordAt(line, 0), wordAt(line, 1) === ''),
  },
  service: {
    usage: 'service HOST',
    words: [1, 1],
    run: (session, line) => session.addService(wordAt(line, 0)),
  },
  publish: {
    usage: 'publish GENERATION [versions=1,2] [policy=load-stalls|batch-efficiency]',
    words: [1, 1],
    options: ['versions', 'policy'],
    run: (session, line) => {
      const { policy, versions } = line.options;
      session.publish(parseNumber(line, wordAt(line, 0)), versions, policy);
    },
  },
  ready: {
    usage: 'ready',
    words: [0, 0],
    run: async (session, line) => {
      if (!(await session.waitUntilReady())) {
        throw new ScenarioError(
          line,
          'the processes did not become ready in time; see the journal',
        );
      }
    },
  },
  wait: {
    usage: 'wait MILLISECONDS',
    words: [1, 1],
    run: (session, line) => session.advance(parseNumber(line, wordAt(line, 0))),
  },
  await: {
    usage: 'await REQUEST [within=MILLISECONDS]',
    words: [1, 1],
    options: ['within'],
    run: async (session, line) => {
      const limit = parseNumber(line, line.options.within, 60_000);
      const name = wordAt(line, 0);
      if (!(await session.advanceUntil(() => session.hasEnded(name), limit))) {
        throw new ScenarioError(line, `request ${name} did not end within ${limit} ms`);
      }
    },
  },
};
