import { DEPLOYMENTS } from './deployments.ts';
import type { Deployment } from './deployments.ts';
import type { Slope } from './fitLine.ts';
import {
  BUDGET,
  CONFIGURATION_CALLS_PER_SECOND,
  misses,
  slopesOf,
  totalControl,
  workOut,
} from './workOut.ts';
import type { CapacityRow, Slopes } from './workOut.ts';

/** A recorded run of the bench. */
export type CapacityRecord = {
  readonly command: string;
  readonly node: string;
  /** Whether other work loaded the machine during the run. */
  readonly busyMachine: boolean;
  readonly slopes: readonly Slope[];
};

const SIGNIFICANT = 3;

const LEAST_SHOWN = 1e-6;

const MEGABYTE = 1024 * 1024;

function show(value: number): string {
  if (Math.abs(value) < LEAST_SHOWN) return '0';
  return Number(value.toPrecision(SIGNIFICANT)).toLocaleString('en-US', {
    maximumFractionDigits: 6,
  });
}

function table(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = header.map((cell, column) =>
    Math.max(3, cell.length, ...rows.map((cells) => cells[column]!.length)),
  );
  const line = (cells: readonly string[]): string =>
    `| ${cells.map((cell, column) => cell.padEnd(widths[column]!)).join(' | ')} |`;
  const rule = widths.map((width) => '-'.repeat(width));
  return [line(header), line(rule), ...rows.map(line)].join('\n');
}

function verdict(each: CapacityRow): string {
  const isJudged = each.isControl || each.role.startsWith('configuration');
  if (!isJudged) return 'no control';
  const missed = misses(each);
  return missed.length === 0 ? 'met' : `MISSED: ${missed.join(', ')}`;
}

function formatRow(each: CapacityRow): readonly string[] {
  const isMissed = misses(each).length > 0;
  return [
    each.role,
    each.matter,
    each.mechanism,
    show(each.stateBytes / MEGABYTE),
    show(each.messagesPerSecond),
    show(each.bytesPerSecond),
    show(each.processorShare * 100),
    verdict(each),
    isMissed ? each.remedy : '',
  ];
}

function formatDeployment(size: Deployment, slopes: Slopes): string {
  const rows = workOut(slopes, size);
  const totals = ['entry', 'sidecar'].map((role) => totalControl(rows, role));
  const header = [
    'Role',
    'Matter',
    'Mechanism',
    'State, MB',
    'Messages/s',
    'Bytes/s',
    'Core, %',
    'Budget',
    'What would carry it',
  ];
  const counts =
    `${show(size.entries)} entries, ${show(size.workers)} workers, ${show(size.adapters)} ` +
    `adapters, ${show(size.availabilityZones)} availability zones, ` +
    `${show(size.requestsPerSecond)} requests/s, ${show(size.tokensPerSecond)} tokens/s, ` +
    `${show(size.changesPerDay)} changes a day.`;
  return `## ${size.name}\n\n${counts}\n\n${table(header, [...rows, ...totals].map(formatRow))}`;
}

function formatSlopes(slopes: readonly Slope[]): string {
  const rows = slopes.map((slope) => [
    slope.name,
    `${slope.unit} per ${slope.per}`,
    show(slope.slope),
    show(slope.intercept),
    show(slope.residual * 100),
    slope.points.map(({ x, y }) => `${show(x)}: ${show(y)}`).join('; '),
  ]);
  return table(['Slope', 'Unit', 'Slope', 'At 0', 'Residual, %', 'Points'], rows);
}

const FIRST_TOKEN_TARGET_MS = 300;

const TOKEN_TARGET_MS = 40;

/** Ways over the network, each way, between availability zones and to clients. */
const LATENCY_MS = [
  ['client to entry and back', 6],
  ['entry to sidecar and back', 3],
] as const;

const MICROSECONDS_PER_MILLISECOND = 1000;

function formatLatency(slopes: Slopes, size: Deployment): string {
  const candidates = slopes('time.candidate').slope * (size.workers / size.baseModels);
  const own = slopes('time.submit').slope + slopes('time.resolve').slope + candidates;
  const parts: readonly (readonly [string, number])[] = [
    ...LATENCY_MS,
    ['name, routing and submit', own / MICROSECONDS_PER_MILLISECOND],
    ['first chunk', slopes('time.chunk').slope / MICROSECONDS_PER_MILLISECOND],
  ];
  const spent = parts.reduce((sum, [, value]) => sum + value, 0);
  const chunk = slopes('time.chunk').slope / MICROSECONDS_PER_MILLISECOND;
  const rows = [
    ...parts.map(([part, value]) => [part, show(value)]),
    ['sum of the system', show(spent)],
    [
      `left of ${FIRST_TOKEN_TARGET_MS} ms for queue, load stall and engine`,
      show(FIRST_TOKEN_TARGET_MS - spent),
    ],
    ['between tokens: one chunk', show(chunk)],
    [`left of ${TOKEN_TARGET_MS} ms for the engine's step`, show(TOKEN_TARGET_MS - chunk)],
  ];
  return table(['Part', 'ms'], rows);
}

/** Entries that hold a link to one worker when links form cells. */
const ENTRIES_PER_WORKER = 4;

function formatCells(slopes: Slopes, size: Deployment): string {
  const bytes = slopes('bytes.idle-link').slope;
  const links = (ENTRIES_PER_WORKER * size.workers) / size.entries;
  const rows = [
    ['bytes/s of an idle link, measured', show(bytes)],
    ['links of an entry within the budget at that', show(BUDGET.bytesPerSecond / bytes)],
    [`links of an entry, ${ENTRIES_PER_WORKER} entries to a worker`, show(links)],
    ['bytes/s of a link that would fit', show(BUDGET.bytesPerSecond / links)],
    ['entries to a worker within its own budget, measured', show(BUDGET.bytesPerSecond / bytes)],
  ];
  return table(['Links in cells', 'Figure'], rows);
}

/**
 * Writes docs/CAPACITY.md from a recorded run.
 *
 * @param record The run, as committed beside the page.
 */
export function formatCapacityPage(record: CapacityRecord): string {
  const slopes = slopesOf(record.slopes);
  const busy = record.busyMachine
    ? 'Other work loaded the machine during the run, so processor times are upper estimates.'
    : 'Nothing else loaded the machine during the run.';
  const sections = [
    '# Capacity',
    [
      `Written by \`${record.command}\` on ${record.node} from the run recorded in`,
      '`docs/capacity.json`; a test fails when the two differ. Every figure below is a measured',
      'slope multiplied by a size; nothing was run at the size of the letter.',
      busy,
      'Slopes measured at both ends of a link are halved for one end.',
    ].join('\n'),
    [
      `The control budget of a node is ${BUDGET.processorShare * 100}% of a core,`,
      `${BUDGET.stateBytes / MEGABYTE} MB and ${BUDGET.bytesPerSecond / 1024} KB a second; the configuration service takes`,
      `${show(CONFIGURATION_CALLS_PER_SECOND)} calls a second from all readers. The memory of the runtime itself`,
      'is not in the state column. Rows of requests and tokens are not control.',
    ].join('\n'),
    'The sizes of today give no rates: requests and tokens are scaled from the letter by workers,\nchanges by adapters.',
    ...DEPLOYMENTS.map((size) => formatDeployment(size, slopes)),
    `## First token and time between tokens at the letter's size\n\nProcessor time at both ends with no waiting, and round trips of the widest deployment of today.\n\n${formatLatency(slopes, DEPLOYMENTS[0]!)}`,
    `## Links within the budget at the letter's size\n\nNot built: cells, and heartbeats that carry only what has changed.\n\n${formatCells(slopes, DEPLOYMENTS[0]!)}`,
    `## Slopes\n\n${formatSlopes(record.slopes)}`,
  ];
  return `${sections.join('\n\n')}\n`;
}
