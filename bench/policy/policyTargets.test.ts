import { expect } from 'chai';
import type { PolicyRow } from './runPolicyBench.ts';
import { runPolicyBench } from './runPolicyBench.ts';

/** Largest allowed drop of completed requests under overload, as a share of the peak. */
const MAX_OVERLOAD_LOSS = 0.05;

const BASELINES = ['random', 'least-loaded', 'rendezvous'] as const;

async function runCases(
  deployment: string,
  policy: 'batch-efficiency' | 'load-stalls',
  cases: readonly string[],
): Promise<readonly PolicyRow[]> {
  const contenders = [...BASELINES, 'product', 'clairvoyant'];
  const options = { deployments: [deployment], policies: [policy], cases, contenders, seeds: [1] };
  return runPolicyBench(options);
}

function findRow(rows: readonly PolicyRow[], caseName: string, contender: string): PolicyRow {
  return rows.find((row) => row.case === caseName && row.contender === contender)!;
}

describe('bench policy', () => {
  describe('anadolu with load stalls first', () => {
    let rows: readonly PolicyRow[] = [];

    before(async () => {
      rows = await runCases('anadolu', 'load-stalls', ['steady', 'shifted']);
    });

    it('has at most half the p99 load stall of rendezvous in the shifted case', () => {
      const product = findRow(rows, 'shifted', 'product').stallP99Ms;
      expect(product).to.be.at.most(findRow(rows, 'shifted', 'rendezvous').stallP99Ms / 2);
    });

    it('is no worse than any baseline', () => {
      ['steady', 'shifted'].forEach((caseName) => {
        const product = findRow(rows, caseName, 'product').stallP99Ms;
        BASELINES.forEach((baseline) => {
          expect(product).to.be.at.most(findRow(rows, caseName, baseline).stallP99Ms);
        });
      });
    });

    it('stays within 1.3 times of the clairvoyant bound in the steady case', () => {
      const bound = findRow(rows, 'steady', 'clairvoyant').stallP99Ms;
      expect(findRow(rows, 'steady', 'product').stallP99Ms).to.be.at.most(1.3 * bound);
    });
  });

  describe('ixchel with batch efficiency first', () => {
    let rows: readonly PolicyRow[] = [];

    before(async () => {
      rows = await runCases('ixchel', 'batch-efficiency', [
        'steady',
        'load-90',
        'load-130',
        'load-250',
      ]);
    });

    it('has at least 1.25 times the batch efficiency of least-loaded', () => {
      const product = findRow(rows, 'steady', 'product').batchEfficiency;
      const leastLoaded = findRow(rows, 'steady', 'least-loaded').batchEfficiency;
      expect(product).to.be.at.least(1.25 * leastLoaded);
    });

    it('is no worse than any baseline', () => {
      ['steady', 'load-90', 'load-130'].forEach((caseName) => {
        const product = findRow(rows, caseName, 'product').batchEfficiency;
        BASELINES.forEach((baseline) => {
          expect(product).to.be.at.least(findRow(rows, caseName, baseline).batchEfficiency);
        });
      });
    });

    it('stays within 1.3 times of the clairvoyant bound in the steady case', () => {
      const bound = findRow(rows, 'steady', 'clairvoyant').batchEfficiency;
      expect(findRow(rows, 'steady', 'product').batchEfficiency).to.be.at.least(bound / 1.3);
    });

    it('completes at least 95% of its peak under overload', () => {
      const completed = ['steady', 'load-90', 'load-130', 'load-250'].map(
        (caseName) => findRow(rows, caseName, 'product').completed,
      );
      expect(completed[2]).to.be.at.least(
        (1 - MAX_OVERLOAD_LOSS) * Math.max(...completed.slice(0, 3)),
      );
      expect(completed[3]).to.be.at.least((1 - MAX_OVERLOAD_LOSS) * Math.max(...completed));
    });
  });
});
