import { expect } from 'chai';
import { compareWithKnown, parseKnownFailures } from './knownRed.ts';

const ENTRY = 'test: a\ncommand: npx mocha\nseed: 1\nseen: b\nissue: 4\n';

describe('parseKnownFailures', () => {
  it('parses entries and skips comments', () => {
    expect(parseKnownFailures(`# note\n\n${ENTRY}`)).to.deep.equal([
      { test: 'a', command: 'npx mocha', seed: '1', seen: 'b', issue: '4' },
    ]);
  });

  it('names a missing field', () => {
    expect(() => parseKnownFailures('test: a\n')).to.throw('"command"');
  });
});

describe('compareWithKnown', () => {
  const listed = parseKnownFailures(ENTRY);

  it('reports a listed failure as known', () => {
    const summary = compareWithKnown([{ title: 'a', passed: false }], listed);
    expect(summary).to.deep.equal({ known: ['a'], unlisted: [], unsteady: [], stale: [] });
  });

  it('reports an unlisted failure and a listed test that passes', () => {
    const summary = compareWithKnown(
      [
        { title: 'a', passed: true },
        { title: 'b', passed: false },
      ],
      listed,
    );
    expect(summary).to.deep.equal({ known: [], unlisted: ['b'], unsteady: [], stale: ['a'] });
  });

  it('lets a listed test pass only where its entry says so, and only if it ran', () => {
    const unsteady = parseKnownFailures(`${ENTRY}passes: on fast machines\n`);
    expect(compareWithKnown([{ title: 'a', passed: true }], unsteady).unsteady).to.eql(['a']);
    expect(compareWithKnown([], unsteady).stale).to.eql(['a']);
  });
});
