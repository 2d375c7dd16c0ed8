import { expect } from 'chai';
import fc from 'fast-check';
import { checkSet } from './checkSet.ts';
import { OBJECT_KINDS } from './objects.ts';
import { parseSet } from './parseSet.ts';

const RUN_OPTIONS = { seed: 20261203, numRuns: 1000 };

const KEYS = ['tenant', 'token_sha256', 'pool', 'versions', 'slots', 'target', '__proto__', 'name'];

const line = fc.oneof(
  fc.string(),
  fc.constantFrom('[tenant t]', '[pool p]', '[', ']', '=', '; note', '[constructor x]'),
  fc
    .tuple(fc.constantFrom(...OBJECT_KINDS), fc.string())
    .map(([kind, name]) => `[${kind} ${name}]`),
  fc.tuple(fc.constantFrom(...KEYS), fc.string()).map(([key, value]) => `${key} = ${value}`),
);

describe('parseSet', () => {
  it('returns objects and problems with valid line numbers for any text, and leaves Object.prototype unchanged', () => {
    fc.assert(
      fc.property(fc.array(line, { maxLength: 20 }), (lines) => {
        const text = lines.join('\n');
        const parsed = parseSet([{ file: 'a.ini', text }]);
        const { problems } = checkSet(parsed.declarations);
        const lineCount = text.split('\n').length;
        [...parsed.problems, ...problems].forEach((problem) => {
          expect(problem.file).to.equal('a.ini');
          expect(problem.line).to.be.within(1, lineCount);
          expect(problem.message).not.to.equal('');
        });
        parsed.declarations.forEach(({ object }) => expect(OBJECT_KINDS).to.include(object.kind));
      }),
      RUN_OPTIONS,
    );
    expect(Object.hasOwn(Object.prototype, 'tenant')).to.equal(false);
  });
});
