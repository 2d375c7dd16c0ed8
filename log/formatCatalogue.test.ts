import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { LOG_EVENTS } from './catalogue.ts';
import { formatCatalogue } from './formatCatalogue.ts';

describe('LOG_EVENTS', () => {
  const numbers = Object.values(LOG_EVENTS).map(({ number }) => number);

  it('numbers each event with HS and four digits, without duplicates', () => {
    numbers.forEach((number) => expect(number).to.match(/^HS\d{4}$/));
    expect(new Set(numbers).size).to.equal(numbers.length);
  });
});

describe('formatCatalogue', () => {
  it('returns the text of docs/LOGS.md; run "npm run docs" to update the page', () => {
    expect(readFileSync('docs/LOGS.md', 'utf8')).to.equal(formatCatalogue());
  });
});
