import { explainEnd } from './_explainEnd.ts';
import { timeOf } from './readLogLine.ts';
import type { LogLine } from './readLogLine.ts';

/** What became of one request. */
export type RequestTrace = {
  /** The request's own lines, the earliest first. */
  readonly own: readonly LogLine[];
  /** Lines on the same servers, adapter and entry at that time. */
  readonly related: readonly LogLine[];
  /** One sentence on why it ended as it did, and where to look next. */
  readonly cause: string;
};

/** Time before and after a request in which other lines may tell its cause: servers are dropped within two seconds. */
const AROUND_MS = 3000;

const SERVER_CHANGED = 'HS8004';

const PLACE_ORDERED = 'HS8012';

const REQUEST_PLACED = 'HS8019';

/** Lines on the state of the entry itself: its store, its processor, its start and stop. */
const ENTRY_LINES: ReadonlySet<string> = new Set([
  'HS1001',
  'HS1002',
  'HS8006',
  'HS8007',
  'HS8024',
  'HS8025',
]);

function valuesOf(lines: readonly LogLine[], field: string): ReadonlySet<unknown> {
  return new Set(lines.map((line) => line[field]).filter((value) => value !== undefined));
}

function byTime(a: LogLine, b: LogLine): number {
  return timeOf(a) - timeOf(b);
}

/**
 * Follows one request through the logs of all processes.
 *
 * @param lines Lines of all entries and keepers, in any order.
 * @param id The request's id.
 * @returns What became of it, or `undefined` when no line names it.
 */
export function traceRequest(lines: readonly LogLine[], id: string): RequestTrace | undefined {
  const own = lines.filter(({ request }) => request === id).sort(byTime);
  const [first] = own;
  const last = own.at(-1);
  if (first === undefined || last === undefined) return undefined;
  const from = timeOf(first) - AROUND_MS;
  const to = timeOf(last) + AROUND_MS;
  const near = lines
    .filter((line) => timeOf(line) >= from && timeOf(line) <= to && line.request !== id)
    .sort(byTime);
  const servers = valuesOf(own, 'server');
  const adapters = valuesOf(own, 'adapter');
  const hosts = valuesOf(own, 'host');
  const related = near.filter(
    (line) =>
      (line.number === SERVER_CHANGED && servers.has(line.server)) ||
      (line.number === PLACE_ORDERED && adapters.has(line.adapter)) ||
      (ENTRY_LINES.has(line.number) && hosts.has(line.host)),
  );
  const placements = near.filter(({ number }) => number === REQUEST_PLACED);
  return { own, related, cause: explainEnd({ own, related, placements }) };
}
