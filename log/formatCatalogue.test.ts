import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { LOG_EVENTS } from './catalogue.ts';
import { formatCatalogue } from './formatCatalogue.ts';

describe('LOG_EVENTS', () => {
  const numbers = Object.values(LOG_EVENTS).map(({ number }) => number);

  it('numbers each event by HS and four digits, and no two alike', () => {
    numbers.forEach((number) => expect(number).to.match(/^HS\d{4}$/));
    expect(new Set(numbers).size).to.equal(numbers.length);
  });
});

describe('formatCatalogue', () => {
  it('gives docs/LOGS.md; run "npm run docs" when it does not', () => {
    expect(readFileSync('docs/LOGS.md', 'utf8')).to.equal(formatCatalogue());
  });
});
