import { expect } from 'chai';
import { measureRecovery } from './measureRecovery.ts';
import { missedTargets } from './missedTargets.ts';

describe('measureRecovery', () => {
  (['silent link', 'killed sidecar', 'leaving host', 'host listed as leaving'] as const).forEach(
    (fault) => {
      it(`meets every target for "${fault}"`, async () => {
        const row = await measureRecovery(fault);
        expect(row.completions.done).to.be.above(0);
        expect(missedTargets(row)).to.deep.equal([]);
      });
    },
  );
});
