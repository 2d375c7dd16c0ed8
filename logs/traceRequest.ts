import { explainOutcome } from './_explainOutcome.ts';
import { timeOf } from './readLogLine.ts';
import type { LogLine } from './readLogLine.ts';

/** Log lines about one request, and why it ended as it did. */
export type RequestTrace = {
  /** Lines of the request itself, earliest first. */
  readonly requestLines: readonly LogLine[];
  /** Lines of that time about the same servers, adapters and entries. */
  readonly relatedLines: readonly LogLine[];
  /** One sentence that says why the request ended as it did. */
  readonly cause: string;
};

/** Time before and after a request in which other lines count as related; servers are removed within two seconds. */
const RELATED_WINDOW_MS = 3000;

const SERVER_CHANGED = 'HS8004';

const SERVER_ENDED = 'HS8026';

const PLACE_ORDERED = 'HS8012';

const REQUEST_PLACED = 'HS8019';

/** Events about the entry itself: start and stop, its store, and load shedding. */
const ENTRY_EVENTS: ReadonlySet<string> = new Set([
  'HS1001',
  'HS1002',
  'HS8006',
  'HS8007',
  'HS8024',
  'HS8025',
  'HS8045',
  'HS8046',
]);

function distinctValues(lines: readonly LogLine[], field: string): ReadonlySet<unknown> {
  return new Set(lines.map((line) => line[field]).filter((value) => value !== undefined));
}

function byTime(a: LogLine, b: LogLine): number {
  return timeOf(a) - timeOf(b);
}

/**
 * Traces one request through the logs of all processes.
 *
 * @param lines Lines of all entries and keepers, in any order.
 * @param id The request's id.
 * @returns The trace, or `undefined` if no line has the id.
 */
export function traceRequest(lines: readonly LogLine[], id: string): RequestTrace | undefined {
  const requestLines = lines.filter(({ request }) => request === id).sort(byTime);
  const [first] = requestLines;
  const last = requestLines.at(-1);
  if (first === undefined || last === undefined) return undefined;
  const from = timeOf(first) - RELATED_WINDOW_MS;
  const to = timeOf(last) + RELATED_WINDOW_MS;
  const nearbyLines = lines
    .filter((line) => timeOf(line) >= from && timeOf(line) <= to && line.request !== id)
    .sort(byTime);
  const servers = distinctValues(requestLines, 'server');
  const adapters = distinctValues(requestLines, 'adapter');
  const hosts = distinctValues(requestLines, 'host');
  const relatedLines = nearbyLines.filter(
    (line) =>
      (line.number === SERVER_CHANGED && servers.has(line.server)) ||
      (line.number === SERVER_ENDED && servers.has(line.server)) ||
      (line.number === PLACE_ORDERED && adapters.has(line.adapter)) ||
      (ENTRY_EVENTS.has(line.number) && hosts.has(line.host)),
  );
  const otherPlacements = nearbyLines.filter(({ number }) => number === REQUEST_PLACED);
  return {
    requestLines,
    relatedLines,
    cause: explainOutcome({ requestLines, relatedLines, otherPlacements }),
  };
}
