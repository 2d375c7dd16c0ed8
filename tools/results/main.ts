import { readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { format, resolveConfig } from 'prettier';
import { formatResults } from './formatResults.ts';
import { decodeJournalEntry } from './journal.ts';

const JOURNAL = 'journal';

const PAGE = 'docs/PLATFORM-RESULTS.md';

const names = readdirSync(JOURNAL).filter((name) => name.endsWith('.json'));
const entries = names
  .sort()
  .map((name) => decodeJournalEntry(readFileSync(join(JOURNAL, name), 'utf8')));
const options = await resolveConfig(PAGE);
writeFileSync(PAGE, await format(formatResults(entries), { ...options, parser: 'markdown' }));
