import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { fitLine, formatCapacityPage } from './mod.ts';
import type { CapacityRecord } from './mod.ts';

describe('fitLine', () => {
  it('returns the line on which all points lie', () => {
    const label = { name: 'n', unit: 'byte', per: 'item' };
    const line = fitLine(label, [
      { x: 1, y: 5 },
      { x: 2, y: 7 },
      { x: 4, y: 11 },
    ]);
    expect(line.slope).to.be.closeTo(2, 1e-9);
    expect(line.intercept).to.be.closeTo(3, 1e-9);
    expect(line.residual).to.be.closeTo(0, 1e-9);
  });
});

describe('formatCapacityPage', () => {
  const text = readFileSync('docs/capacity.json', 'utf8');
  const record = JSON.parse(text) as CapacityRecord;

  it('formats the recorded run as the committed page', () => {
    expect(formatCapacityPage(record)).to.equal(readFileSync('docs/CAPACITY.md', 'utf8'));
  });

  it('reads a record whose lines fit their points', () => {
    record.slopes.forEach((slope) => {
      const { slope: measured, intercept, residual } = fitLine(slope, slope.points);
      expect([measured, intercept, residual]).to.deep.equal([
        slope.slope,
        slope.intercept,
        slope.residual,
      ]);
    });
  });
});
