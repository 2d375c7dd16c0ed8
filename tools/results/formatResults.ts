import type { JournalEntry, PlayedDay } from './journal.ts';

type Play = { readonly at: string; readonly cmd: string; readonly day: PlayedDay };

const HEAD = [
  "# Results on the users' platform",
  '',
  "Written by `npm run results` from `journal/`; don't edit it. A play's worth differs by up to 0.03 from",
  'one to the next of the same code. Days with a broken rule or a fault stay in these tables.',
  '',
].join('\n');

function rate(value: number): string {
  return value.toFixed(3);
}

function brokenOf({ rules, fault }: PlayedDay): string {
  const names = Object.entries(rules).map(([name, count]) => `${name} ${count}`);
  return [...names, ...(fault === null ? [] : ['fault'])].join(', ');
}

/** The part or price by which a day lost most, with what it cost. */
function largestLoss({ parts, prices }: PlayedDay): string {
  const losses = [
    ...parts.map(([name, weight, share]) => [name, weight * (1 - share)] as const),
    ...prices.map(([name, , cost]) => [name, cost] as const),
  ];
  const [name, cost] = losses.sort((a, b) => b[1] - a[1])[0] ?? ['none', 0];
  return `${name} ${rate(cost)}`;
}

function row(cells: readonly (string | number)[]): string {
  return `| ${cells.join(' | ')} |`;
}

function table(head: readonly string[], rows: readonly string[]): string {
  return [row(head), row(head.map(() => '---')), ...rows].join('\n');
}

/** Days that have a name of their own, not a seed or a draw. */
function isStandard({ name }: PlayedDay): boolean {
  return /^(quiet|trouble|scale)-\d+$/.test(name);
}

function playsOf(entries: readonly JournalEntry[]): readonly Play[] {
  return entries.flatMap(({ at, cmd, days }) => days.map((day) => ({ at: at[0] ?? '', cmd, day })));
}

function formatStandard(plays: readonly Play[]): string {
  const names = [...new Set(plays.map(({ day }) => day.name))].sort();
  const rows = names.map((name) => {
    const own = plays.filter(({ day }) => day.name === name);
    const { at, day } = own.at(-1)!;
    const broken = own.filter((play) => brokenOf(play.day) !== '').length;
    const { score, G, served, refused, failed } = day;
    return row([
      name,
      own.length,
      broken,
      at.slice(0, 16),
      score === null || score === undefined ? '' : score.toFixed(2),
      ...[G, served, refused, failed].map(rate),
      largestLoss(day),
    ]);
  });
  return table(
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
      const broken = days.filter((day) => brokenOf(day) !== '').length;
      return row([(at[0] ?? '').slice(0, 16), days.length, broken, why ?? '']);
    });
  return table(['hunt', 'days', 'broken', 'why'], rows);
}

function formatBroken(plays: readonly Play[]): string {
  const broken = plays.filter(({ day }) => brokenOf(day) !== '');
  const rows = broken.map(({ at, cmd, day }) =>
    row([at.slice(0, 16), cmd, day.name, brokenOf(day)]),
  );
  return table(['play', 'by', 'day', 'broken'], rows);
}

function formatSite(site: string, entries: readonly JournalEntry[]): string {
  const plays = playsOf(entries);
  const standard = plays.filter(({ cmd, day }) => cmd !== 'hunt' && isStandard(day));
  return [`## ${site}`, formatStandard(standard), formatHunts(entries), formatBroken(plays)].join(
    '\n\n',
  );
}

/** Returns the page of results, from the entries of the journal in the order of time. */
export function formatResults(entries: readonly JournalEntry[]): string {
  const played = entries.filter(({ site, days }) => site !== null && days.length > 0);
  const sites = [...new Set(played.map(({ site }) => site ?? ''))].sort();
  const parts = sites.map((site) =>
    formatSite(
      site,
      played.filter((entry) => entry.site === site),
    ),
  );
  return `${[HEAD, ...parts].join('\n')}\n`;
}
