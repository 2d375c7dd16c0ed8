import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import { GUARDS } from './guards.ts';

describe('guards that the mutants remove', () => {
  GUARDS.flatMap((guard) => [guard, ...(guard.also ?? [])]).forEach(({ file, guard }) => {
    it(`occur once in the code (${file}: ${guard.slice(0, 40).replace(/\s+/g, ' ')})`, () => {
      expect(readFileSync(file, 'utf8').split(guard)).to.have.length(2);
    });
  });
});
