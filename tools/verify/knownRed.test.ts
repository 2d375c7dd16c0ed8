import { expect } from 'chai';
import { judgeRun, parseKnownRed } from './knownRed.ts';

const ENTRY = 'test: a\ncommand: npx mocha\nseed: 1\nseen: b\nissue: 4\n';

describe('parseKnownRed', () => {
  it('reads entries and skips comments', () => {
    expect(parseKnownRed(`# note\n\n${ENTRY}`)).to.deep.equal([
      { test: 'a', command: 'npx mocha', seed: '1', seen: 'b', issue: '4' },
    ]);
  });

  it('names a missing field', () => {
    expect(() => parseKnownRed('test: a\n')).to.throw('"command"');
  });
});

describe('judgeRun', () => {
  const listed = parseKnownRed(ENTRY);

  it('takes a listed failure as known', () => {
    const verdict = judgeRun([{ title: 'a', passed: false }], listed);
    expect(verdict).to.deep.equal({ known: ['a'], unlisted: [], stale: [] });
  });

  it('reports an unlisted failure and a listed case that passes', () => {
    const verdict = judgeRun(
      [
        { title: 'a', passed: true },
        { title: 'b', passed: false },
      ],
      listed,
    );
    expect(verdict).to.deep.equal({ known: [], unlisted: ['b'], stale: ['a'] });
  });
});
