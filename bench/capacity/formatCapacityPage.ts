import { DEPLOYMENTS } from './deployments.ts';
import type { Deployment } from './deployments.ts';
import type { Slope } from './fitLine.ts';
import {
  CONTROL_BUDGET,
  CONFIGURATION_CALLS_PER_SECOND,
  findMissedBudgets,
  createSlopeLookup,
  sumControlRows,
  estimateCosts,
} from './estimateCosts.ts';
import type { CapacityRow, SlopeLookup } from './estimateCosts.ts';

/** A recorded run of the capacity benchmark. */
export type CapacityRecord = {
  readonly command: string;
  readonly node: string;
  /** Whether other work loaded the machine during the run. */
  readonly busyMachine: boolean;
  readonly slopes: readonly Slope[];
};

const SIGNIFICANT_DIGITS = 3;

const MIN_SHOWN = 1e-6;

const BYTES_PER_MEGABYTE = 1024 * 1024;

function formatNumber(value: number): string {
  if (Math.abs(value) < MIN_SHOWN) return '0';
  return Number(value.toPrecision(SIGNIFICANT_DIGITS)).toLocaleString('en-US', {
    maximumFractionDigits: 6,
  });
}

function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = header.map((cell, column) =>
    Math.max(3, cell.length, ...rows.map((cells) => cells[column]!.length)),
  );
  const line = (cells: readonly string[]): string =>
    `| ${cells.map((cell, column) => cell.padEnd(widths[column]!)).join(' | ')} |`;
  const rule = widths.map((width) => '-'.repeat(width));
  return [line(header), line(rule), ...rows.map(line)].join('\n');
}

function formatVerdict(row: CapacityRow): string {
  const hasBudget = row.isControl || row.role.startsWith('configuration');
  if (!hasBudget) return 'no control';
  const missed = findMissedBudgets(row);
  return missed.length === 0 ? 'met' : `MISSED: ${missed.join(', ')}`;
}

function formatRow(row: CapacityRow): readonly string[] {
  const isMissed = findMissedBudgets(row).length > 0;
  return [
    row.role,
    row.item,
    row.mechanism,
    formatNumber(row.stateBytes / BYTES_PER_MEGABYTE),
    formatNumber(row.messagesPerSecond),
    formatNumber(row.bytesPerSecond),
    formatNumber(row.processorShare * 100),
    formatVerdict(row),
    isMissed ? row.remedy : '',
  ];
}

function formatDeployment(deployment: Deployment, slopes: SlopeLookup): string {
  const rows = estimateCosts(slopes, deployment);
  const totals = ['entry', 'sidecar'].map((role) => sumControlRows(rows, role));
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
    `${formatNumber(deployment.entries)} entries, ${formatNumber(deployment.backendServers)} workers, ${formatNumber(deployment.adapters)} ` +
    `adapters, ${formatNumber(deployment.availabilityZones)} availability zones, ` +
    `${formatNumber(deployment.requestsPerSecond)} requests/s, ${formatNumber(deployment.tokensPerSecond)} tokens/s, ` +
    `${formatNumber(deployment.changesPerDay)} changes a day.`;
  return `## ${deployment.name}\n\n${counts}\n\n${formatTable(header, [...rows, ...totals].map(formatRow))}`;
}

function formatSlopes(slopes: readonly Slope[]): string {
  const rows = slopes.map((slope) => [
    slope.name,
    `${slope.unit} per ${slope.per}`,
    formatNumber(slope.slope),
    formatNumber(slope.intercept),
    formatNumber(slope.residual * 100),
    slope.points.map(({ x, y }) => `${formatNumber(x)}: ${formatNumber(y)}`).join('; '),
  ]);
  return formatTable(['Slope', 'Unit', 'Slope', 'At 0', 'Residual, %', 'Points'], rows);
}

const FIRST_TOKEN_TARGET_MS = 300;

const TOKEN_TARGET_MS = 40;

/** Network round-trip times, in milliseconds. */
const ROUND_TRIPS_MS = [
  ['client to entry and back', 6],
  ['entry to sidecar and back', 3],
] as const;

const MICROSECONDS_PER_MILLISECOND = 1000;

function formatLatency(slopes: SlopeLookup, deployment: Deployment): string {
  const candidates =
    slopes('time.candidate').slope * (deployment.backendServers / deployment.baseModels);
  const routingUs = slopes('time.submit').slope + slopes('time.resolve').slope + candidates;
  const parts: readonly (readonly [string, number])[] = [
    ...ROUND_TRIPS_MS,
    ['name, routing and submit', routingUs / MICROSECONDS_PER_MILLISECOND],
    ['first chunk', slopes('time.chunk').slope / MICROSECONDS_PER_MILLISECOND],
  ];
  const spent = parts.reduce((sum, [, value]) => sum + value, 0);
  const chunk = slopes('time.chunk').slope / MICROSECONDS_PER_MILLISECOND;
  const rows = [
    ...parts.map(([part, value]) => [part, formatNumber(value)]),
    ['sum of the system', formatNumber(spent)],
    [
      `left of ${FIRST_TOKEN_TARGET_MS} ms for queue, load stall and engine`,
      formatNumber(FIRST_TOKEN_TARGET_MS - spent),
    ],
    ['between tokens: one chunk', formatNumber(chunk)],
    [`left of ${TOKEN_TARGET_MS} ms for the engine's step`, formatNumber(TOKEN_TARGET_MS - chunk)],
  ];
  return formatTable(['Part', 'ms'], rows);
}

/** Entries linked to each backend server if links were grouped into cells. */
const ENTRIES_PER_BACKEND_SERVER = 4;

function formatCells(slopes: SlopeLookup, deployment: Deployment): string {
  const bytes = slopes('bytes.idle-link').slope;
  const links = (ENTRIES_PER_BACKEND_SERVER * deployment.backendServers) / deployment.entries;
  const rows = [
    ['bytes/s of an idle link, measured', formatNumber(bytes)],
    [
      'links of an entry within the budget at that',
      formatNumber(CONTROL_BUDGET.bytesPerSecond / bytes),
    ],
    [`links of an entry, ${ENTRIES_PER_BACKEND_SERVER} entries to a worker`, formatNumber(links)],
    ['bytes/s of a link that would fit', formatNumber(CONTROL_BUDGET.bytesPerSecond / links)],
    [
      'entries to a worker within its own budget, measured',
      formatNumber(CONTROL_BUDGET.bytesPerSecond / bytes),
    ],
  ];
  return formatTable(['Links in cells', 'Figure'], rows);
}

/**
 * Formats docs/CAPACITY.md from a recorded run.
 *
 * @param record The run, as committed in docs/capacity.json.
 */
export function formatCapacityPage(record: CapacityRecord): string {
  const slopes = createSlopeLookup(record.slopes);
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
      `The control budget of a node is ${CONTROL_BUDGET.processorShare * 100}% of a core,`,
      `${CONTROL_BUDGET.stateBytes / BYTES_PER_MEGABYTE} MB and ${CONTROL_BUDGET.bytesPerSecond / 1024} KB a second; the configuration service takes`,
      `${formatNumber(CONFIGURATION_CALLS_PER_SECOND)} calls a second from all readers. The memory of the runtime itself`,
      'is not in the state column. Rows of requests and tokens are not control.',
    ].join('\n'),
    'The sizes of today give no rates: requests and tokens are scaled from the letter by workers,\nchanges by adapters.',
    ...DEPLOYMENTS.map((deployment) => formatDeployment(deployment, slopes)),
    `## First token and time between tokens at the letter's size\n\nProcessor time at both ends with no waiting, and round trips of the widest deployment of today.\n\n${formatLatency(slopes, DEPLOYMENTS[0]!)}`,
    `## Links within the budget at the letter's size\n\nNot built: cells, and heartbeats that carry only what has changed.\n\n${formatCells(slopes, DEPLOYMENTS[0]!)}`,
    `## Slopes\n\n${formatSlopes(record.slopes)}`,
  ];
  return `${sections.join('\n\n')}\n`;
}
