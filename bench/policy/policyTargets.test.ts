import { expect } from 'chai';
import type { PolicyRow } from './runPolicyBench.ts';
import { runPolicyBench } from './runPolicyBench.ts';

/** Share of the peak by which completed work may fall under overload. */
const COLLAPSE_SHARE = 0.05;

const BASELINES = ['random', 'least-loaded', 'rendezvous'] as const;

async function run(
  deployment: string,
  policy: 'batch-efficiency' | 'load-stalls',
  cases: readonly string[],
): Promise<readonly PolicyRow[]> {
  const contenders = [...BASELINES, 'product', 'clairvoyant'];
  const options = { deployments: [deployment], policies: [policy], cases, contenders, seeds: [1] };
  return runPolicyBench(options);
}

function rowOf(rows: readonly PolicyRow[], caseName: string, contender: string): PolicyRow {
  return rows.find((row) => row.case === caseName && row.contender === contender)!;
}

describe('bench policy', () => {
  describe('anadolu with load stalls first', () => {
    let rows: readonly PolicyRow[] = [];

    before(async () => {
      rows = await run('anadolu', 'load-stalls', ['steady', 'shifted']);
    });

    it('has a p99 load stall in the shifted case of at most half that of rendezvous', () => {
      const product = rowOf(rows, 'shifted', 'product').stallP99Ms;
      expect(product).to.be.at.most(rowOf(rows, 'shifted', 'rendezvous').stallP99Ms / 2);
    });

    it('is no worse than any baseline', () => {
      ['steady', 'shifted'].forEach((caseName) => {
        const product = rowOf(rows, caseName, 'product').stallP99Ms;
        BASELINES.forEach((baseline) => {
          expect(product).to.be.at.most(rowOf(rows, caseName, baseline).stallP99Ms);
        });
      });
    });

    it('stays within 1.3 times of the clairvoyant bound in the steady case', () => {
      const bound = rowOf(rows, 'steady', 'clairvoyant').stallP99Ms;
      expect(rowOf(rows, 'steady', 'product').stallP99Ms).to.be.at.most(1.3 * bound);
    });
  });

  describe('ixchel with batch efficiency first', () => {
    let rows: readonly PolicyRow[] = [];

    before(async () => {
      rows = await run('ixchel', 'batch-efficiency', ['steady', 'load-90', 'load-130', 'load-250']);
    });

    it('has at least 1.25 times the batch efficiency of least-loaded', () => {
      const product = rowOf(rows, 'steady', 'product').batchEfficiency;
      const leastLoaded = rowOf(rows, 'steady', 'least-loaded').batchEfficiency;
      expect(product).to.be.at.least(1.25 * leastLoaded);
    });

    it('is no worse than any baseline', () => {
      ['steady', 'load-90', 'load-130'].forEach((caseName) => {
        const product = rowOf(rows, caseName, 'product').batchEfficiency;
        BASELINES.forEach((baseline) => {
          expect(product).to.be.at.least(rowOf(rows, caseName, baseline).batchEfficiency);
        });
      });
    });

    it('stays within 1.3 times of the clairvoyant bound in the steady case', () => {
      const bound = rowOf(rows, 'steady', 'clairvoyant').batchEfficiency;
      expect(rowOf(rows, 'steady', 'product').batchEfficiency).to.be.at.least(bound / 1.3);
    });

    it('completes under overload nearly as much as at its peak', () => {
      const completed = ['steady', 'load-90', 'load-130', 'load-250'].map(
        (caseName) => rowOf(rows, caseName, 'product').completed,
      );
      expect(completed[2]).to.be.at.least(
        (1 - COLLAPSE_SHARE) * Math.max(...completed.slice(0, 3)),
      );
      expect(completed[3]).to.be.at.least((1 - COLLAPSE_SHARE) * Math.max(...completed));
    });
  });
});
