import { readdirSync, readFileSync } from 'node:fs';
import { expect } from 'chai';
import { goldenFile, runScenario } from '../scenario/mod.ts';

const FOLDER = 'scenarios';

const FILES = readdirSync(FOLDER).filter((name) => name.endsWith('.scenario'));

describe('scenarios', () => {
  FILES.forEach((name) => {
    describe(name, () => {
      const file = `${FOLDER}/${name}`;

      it('keeps every invariant and matches its golden file', async () => {
        const { failures, journal } = await runScenario(file, readFileSync(file, 'utf8'));
        expect(failures).to.deep.equal([]);
        expect(`${journal.join('\n')}\n`).to.equal(readFileSync(goldenFile(file), 'utf8'));
      });
    });
  });
});
