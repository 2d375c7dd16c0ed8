import { expect } from 'chai';
import { formatResults } from './formatResults.ts';
import { decodeJournalEntry } from './journal.ts';
import type { JournalEntry, DayResult } from './journal.ts';

const DAY: DayResult = {
  name: 'quiet-1',
  G: 0.8,
  score: 0.75,
  served: 0.98,
  refused: 0,
  failed: 0.01,
  rules: {},
  fault: null,
  parts: [['whole day', 0.55, 0.98]],
  prices: [
    ['orders', 10, 0.001],
    ['adapters', 300, 0.06],
  ],
};

function entry(changes: Partial<JournalEntry>): JournalEntry {
  const base = { at: ['2026-12-04T02:00:00Z', ''], cmd: 'run', why: 'why', site: 's', ok: true };
  return { ...base, days: [DAY], ...changes };
}

describe('formatResults', () => {
  it('shows the last run of each standard day, with its largest loss', () => {
    const later = { ...DAY, score: 0.9, G: 0.85 };
    const page = formatResults([entry({}), entry({ days: [later] })]);
    expect(page).to.include(
      '| quiet-1 | 2 | 0 | 2026-12-04T02:00 | 0.90 | 0.850 | 0.980 | 0.000 | 0.010 | adapters 0.060 |',
    );
  });

  it('lists days that broke a rule even if later runs did not', () => {
    const broken = { ...DAY, name: 'mix --seed 4', rules: { LOST: 3 } };
    const page = formatResults([
      entry({ cmd: 'hunt', days: [DAY, broken] }),
      entry({ cmd: 'hunt', why: 'again' }),
    ]);
    expect(page).to.include('| 2026-12-04T02:00 | 2 | 1 | why |');
    expect(page).to.include('| 2026-12-04T02:00 | 1 | 0 | again |');
    expect(page).to.include('| hunt | mix --seed 4 | LOST 3 |');
  });

  it('skips runs that were interrupted', () => {
    expect(formatResults([entry({ site: null, days: [], ok: false })])).to.not.include('##');
  });
});

describe('decodeJournalEntry', () => {
  it('names the invalid field', () => {
    expect(() => decodeJournalEntry('{"at":[],"cmd":1}')).to.throw('"cmd"');
  });
});
