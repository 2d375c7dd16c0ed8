import type { JournalEntry, DayResult } from './journal.ts';

type DayRun = { readonly at: string; readonly cmd: string; readonly day: DayResult };

const PAGE_HEADER = [
  "# Results on the users' platform",
  '',
  "Written by `npm run results` from `journal/`; don't edit it. A play's worth differs by up to 0.03 from",
  'one to the next of the same code. Days with a broken rule or a fault stay in these tables.',
  '',
].join('\n');

function formatShare(value: number): string {
  return value.toFixed(3);
}

function formatViolations({ rules, fault }: DayResult): string {
  const names = Object.entries(rules).map(([name, count]) => `${name} ${count}`);
  return [...names, ...(fault === null ? [] : ['fault'])].join(', ');
}

/** Returns the part or price that reduced a day's worth most, with the reduction. */
function largestLoss({ parts, prices }: DayResult): string {
  const losses = [
    ...parts.map(([name, weight, share]) => [name, weight * (1 - share)] as const),
    ...prices.map(([name, , cost]) => [name, cost ?? 0] as const),
  ];
  const [name, cost] = losses.sort((a, b) => b[1] - a[1])[0] ?? ['none', 0];
  return `${name} ${formatShare(cost)}`;
}

function formatRow(cells: readonly (string | number)[]): string {
  return `| ${cells.join(' | ')} |`;
}

function formatTable(head: readonly string[], rows: readonly string[]): string {
  return [formatRow(head), formatRow(head.map(() => '---')), ...rows].join('\n');
}

/** Returns whether a day is one of the named standard days, not one generated from a seed. */
function isStandard({ name }: DayResult): boolean {
  return /^(quiet|trouble|scale)-\d+$/.test(name);
}

function listDayRuns(entries: readonly JournalEntry[]): readonly DayRun[] {
  return entries.flatMap(({ at, cmd, days }) => days.map((day) => ({ at: at[0] ?? '', cmd, day })));
}

function formatStandard(runs: readonly DayRun[]): string {
  const names = [...new Set(runs.map(({ day }) => day.name))].sort();
  const rows = names.map((name) => {
    const own = runs.filter(({ day }) => day.name === name);
    const { at, day } = own.at(-1)!;
    const broken = own.filter((run) => formatViolations(run.day) !== '').length;
    const { score, G, served, refused, failed } = day;
    return formatRow([
      name,
      own.length,
      broken,
      at.slice(0, 16),
      score === null || score === undefined ? '' : score.toFixed(2),
      ...[G, served, refused, failed].map(formatShare),
      largestLoss(day),
    ]);
  });
  return formatTable(
    [
      'day',
      'plays',
      'broken',
      'last',
      'score',
      'worth',
      'served',
      'refused',
      'failed',
      'largest loss',
    ],
    rows,
  );
}

function formatHunts(entries: readonly JournalEntry[]): string {
  const rows = entries
    .filter(({ cmd }) => cmd === 'hunt')
    .map(({ at, days, why }) => {
      const broken = days.filter((day) => formatViolations(day) !== '').length;
      return formatRow([(at[0] ?? '').slice(0, 16), days.length, broken, why ?? '']);
    });
  return formatTable(['hunt', 'days', 'broken', 'why'], rows);
}

function formatBroken(runs: readonly DayRun[]): string {
  const broken = runs.filter(({ day }) => formatViolations(day) !== '');
  const rows = broken.map(({ at, cmd, day }) =>
    formatRow([at.slice(0, 16), cmd, day.name, formatViolations(day)]),
  );
  return formatTable(['play', 'by', 'day', 'broken'], rows);
}

function formatSite(site: string, entries: readonly JournalEntry[]): string {
  const runs = listDayRuns(entries);
  const standard = runs.filter(({ cmd, day }) => cmd !== 'hunt' && isStandard(day));
  return [`## ${site}`, formatStandard(standard), formatHunts(entries), formatBroken(runs)].join(
    '\n\n',
  );
}

/**
 * Formats the page of results as Markdown.
 *
 * @param entries The journal's entries, oldest first.
 */
export function formatResults(entries: readonly JournalEntry[]): string {
  const played = entries.filter(({ site, days }) => site !== null && days.length > 0);
  const sites = [...new Set(played.map(({ site }) => site ?? ''))].sort();
  const parts = sites.map((site) =>
    formatSite(
      site,
      played.filter((entry) => entry.site === site),
    ),
  );
  return `${[PAGE_HEADER, ...parts].join('\n')}\n`;
}
