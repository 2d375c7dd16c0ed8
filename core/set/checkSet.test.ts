import { expect } from 'chai';
import { checkSet, parseSet } from './mod.ts';

function findProblems(text: string): readonly string[] {
  const { declarations, problems } = parseSet([{ file: 'a.ini', text }]);
  return [...problems, ...checkSet(declarations).problems].map(
    ({ line, message }) => `${line} ${message}`,
  );
}

const TOKEN = 'a'.repeat(64);

describe('checkSet', () => {
  it('reports all problems at once, each with its line, object and remedy', () => {
    const problems = findProblems(
      [
        '[tenant t]',
        '[caller a]',
        'tenant = t',
        `token_sha256 = ${TOKEN}`,
        '[caller b]',
        'tenant = t',
        `token_sha256 = ${TOKEN}`,
        '[adapter t/x]',
        'pool = none',
        'versions = 1',
        '[route t/r]',
        'adapter = t/x',
        'version = 2',
      ].join('\n'),
    );
    expect(problems).to.deep.equal([
      '8 adapter t/x: pool names pool "none", which is not declared; declare [pool none] or correct the name',
      '11 route t/r: version "2" is not among those of t/x; use one of 1',
      '5 caller b: has the token of caller a; issue another',
    ]);
  });

  it('rejects an object that exceeds the size limit of a value', () => {
    const versions = Array.from({ length: 200_000 }, (_, index) => `v${index}`).join(',');
    const text = `[tenant t]\n[adapter t/x]\npool = p\nversions = ${versions}`;
    expect(findProblems(text).join()).to.match(/adapter t\/x: takes \d+ bytes/);
  });
});
