import type { LogLine } from './readLogLine.ts';

/** What the cause of a request's end is read from. */
export type EndEvidence = {
  readonly own: readonly LogLine[];
  readonly related: readonly LogLine[];
  /** Placements of other requests at that time. */
  readonly placements: readonly LogLine[];
};

const SENDING_ENDED = 'HS8021';

const REQUEST_ENDED = 'HS8020';

const SERVER_CHANGED = 'HS8004';

const SHEDDING_BEGUN = 'HS8024';

/** Pause between pieces from which a stream may count as late; routes name their own. */
const LONG_PAUSE_MS = 250;

/** How many times as long as elsewhere the pauses of a server must be to be called slow. */
const SLOW_TIMES = 1.3;

const REFUSALS: Readonly<Record<string, string>> = {
  'no-server': 'no server of its service was listed as ready',
  'servers-full': 'every server had more requests than it can begin',
  'no-place': 'no engine had a place for its adapter, or too many loads waited',
  'load-late': 'its adapter was not loaded in time; the orders for it are above, if there were any',
  'retry-budget': 'the retries that the service takes were used up',
  'not-run': 'the servers that it was sent to said that they did not run it',
  'not-sent': 'the servers that it was sent to could not be reached',
};

function meanOf(lines: readonly LogLine[], field: string): number | undefined {
  const values = lines.map((line) => line[field]).filter((value) => typeof value === 'number');
  if (values.length === 0) return undefined;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

const CHANGES: Readonly<Record<string, string>> = {
  leaving: 'said that it was leaving',
  left: 'was no longer listed',
};

function explainServer(server: unknown, { related }: EndEvidence): string {
  const change = related.find(
    (line) => line.number === SERVER_CHANGED && line.server === server && line.change !== 'listed',
  );
  if (change === undefined) return '';
  const what = CHANGES[String(change.change)] ?? String(change.change);
  return `; the server ${what} at ${change.timestamp}`;
}

function explainSending(evidence: EndEvidence): string {
  const sending = evidence.own.findLast(({ number }) => number === SENDING_ENDED);
  if (sending === undefined) return 'its server was silent until the time was over';
  const { server, detail } = sending;
  return `server ${String(server)} brought no whole answer: ${String(detail)}${explainServer(server, evidence)}`;
}

function explainPauses(end: LogLine, { own, placements, related }: EndEvidence): string {
  const pause = Number(end.longestPauseMs ?? 0);
  if (pause < LONG_PAUSE_MS) return 'its answer was whole';
  const server = own.findLast((line) => line.server !== undefined)?.server;
  const usual = (lines: readonly LogLine[]): number | undefined => meanOf(lines, 'usualPauseMs');
  const there = usual([...own, ...placements].filter((line) => line.server === server));
  const elsewhere = usual(placements.filter((line) => line.server !== server));
  const begin = `its answer was whole, with a pause of ${pause} ms at server ${String(server)}`;
  if (related.some(({ number }) => number === SHEDDING_BEGUN)) {
    return `${begin}; its entry was behind its own timers`;
  }
  if (there === undefined || elsewhere === undefined) return begin;
  const means = `usual pauses there are ${there.toFixed(0)} ms, at the others ${elsewhere.toFixed(0)} ms`;
  const verdict =
    there > elsewhere * SLOW_TIMES
      ? 'the server is slow'
      : 'the server is as fast as others and had much to read at that time';
  return `${begin}; ${means}: ${verdict}`;
}

const CAUSES: Readonly<Record<string, (end: LogLine, evidence: EndEvidence) => string>> = {
  answered: explainPauses,
  refused: (end) => REFUSALS[String(end.reason)] ?? `it was refused: ${String(end.reason)}`,
  unknown: (_end, evidence) => explainSending(evidence),
  'broken-off': (_end, evidence) => explainSending(evidence),
  'caller-gone': () => 'its caller left',
  starting: (end) =>
    end.isLeaving === true ? 'its entry was leaving' : 'its entry knew no configuration yet',
  'no-route': () => 'no route of the configuration in force matches it',
};

/** Explains in one sentence why a request ended as it did. */
export function explainEnd(evidence: EndEvidence): string {
  const end = evidence.own.findLast(({ number }) => number === REQUEST_ENDED);
  if (end === undefined) return 'it has no end: its process was killed, or its log is not whole';
  const kind = String(end.end);
  return `${kind}: ${CAUSES[kind]?.(end, evidence) ?? 'this end is not known to this version'}`;
}
