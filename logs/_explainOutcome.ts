import type { LogLine } from './readLogLine.ts';

/** Log lines from which the cause of a request's outcome is derived. */
export type OutcomeEvidence = {
  readonly requestLines: readonly LogLine[];
  readonly relatedLines: readonly LogLine[];
  /** Placement decisions for other requests at that time. */
  readonly otherPlacements: readonly LogLine[];
};

const ATTEMPT_FAILED = 'HS8021';

const REQUEST_ENDED = 'HS8020';

const SERVER_CHANGED = 'HS8004';

const SERVER_ENDED = 'HS8026';

const SHEDDING_BEGUN = 'HS8024';

/** Shortest pause between chunks for which a cause is looked for; the limit of the route may differ. */
const LONG_PAUSE_MS = 250;

/** A server is slow if its mean pause exceeds that of the other servers by this factor. */
const SLOW_PAUSE_RATIO = 1.3;

const REFUSAL_CAUSES: Readonly<Record<string, string>> = {
  'no-server': 'no backend server of its service was listed as ready',
  'servers-full': 'every backend server of its service was at its request limit',
  'no-place': 'no engine had a free place for its adapter, or too many loads were waiting',
  'load-late': 'its adapter was not loaded in time; the orders for it are above, if there were any',
  deadline: 'its deadline passed while it waited to be handled, for an adapter or for a retry',
  'retry-budget': 'the retry budget of its service was used up',
  quarantined: 'it has a trait whose requests crash servers; HS8027 names it',
  suspect:
    'it shares a trait with requests that several servers ended under; another one was being tried',
  'not-run': 'the servers that it was sent to reported that they did not run it',
  'not-sent': 'the servers that it was sent to could not be reached',
};

/** Why there were no tokens for a request although its tenant may have been below its limit. */
const TOKEN_REFUSAL_CAUSES: Readonly<Record<string, string>> = {
  urgency: 'more urgent requests of its tenant went first while tokens were short',
  'stand-in':
    'the first issuer of the tokens of its tenant did not answer, and others issue a part',
  'issuer-starting': 'the issuer of the tokens of its tenant had just started',
  'no-answer': 'no issuer of the tokens of its tenant answered in time',
};

function fieldMean(lines: readonly LogLine[], field: string): number | undefined {
  const values = lines.map((line) => line[field]).filter((value) => typeof value === 'number');
  if (values.length === 0) return undefined;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

const SERVER_CHANGES: Readonly<Record<string, string>> = {
  leaving: 'announced that it was leaving',
  left: 'was no longer listed',
};

function describeServerChange(server: unknown, { relatedLines }: OutcomeEvidence): string {
  const change = relatedLines.find(
    (line) => line.number === SERVER_CHANGED && line.server === server && line.change !== 'listed',
  );
  if (change === undefined) return '';
  const what = SERVER_CHANGES[String(change.change)] ?? String(change.change);
  return `; the server ${what} at ${change.timestamp}`;
}

/** Tells with how many other requests a server ended, as one or more entries saw it. */
function describeServerEnd(server: unknown, { relatedLines }: OutcomeEvidence): string {
  const ends = relatedLines.filter(
    (line) => line.number === SERVER_ENDED && line.server === server,
  );
  if (ends.length === 0) return '';
  const requests = ends.reduce((sum, { requests: count }) => sum + Number(count ?? 0), 0);
  return `; the server had ended, ${requests} requests were lost with it`;
}

function explainFailedAttempt(evidence: OutcomeEvidence): string {
  const end = evidence.requestLines.findLast(({ number }) => number === REQUEST_ENDED);
  if (end?.reason === 'quarantined') {
    return 'it may have crashed its server; HS8026 and HS8027 name what it had in common with others';
  }
  const attempt = evidence.requestLines.findLast(({ number }) => number === ATTEMPT_FAILED);
  if (attempt === undefined) return 'its server was silent until the deadline';
  const { server, detail } = attempt;
  const summary = `server ${String(server)} brought no whole answer: ${String(detail)}`;
  return `${summary}${describeServerEnd(server, evidence)}${describeServerChange(server, evidence)}`;
}

function explainCompleteAnswer(
  end: LogLine,
  { requestLines, otherPlacements, relatedLines }: OutcomeEvidence,
): string {
  const pause = Number(end.longestPauseMs ?? 0);
  if (pause < LONG_PAUSE_MS) return 'its answer was whole';
  const server = requestLines.findLast((line) => line.server !== undefined)?.server;
  const meanPauseMs = (lines: readonly LogLine[]): number | undefined =>
    fieldMean(lines, 'usualPauseMs');
  const serverMeanMs = meanPauseMs(
    [...requestLines, ...otherPlacements].filter((line) => line.server === server),
  );
  const othersMeanMs = meanPauseMs(otherPlacements.filter((line) => line.server !== server));
  const summary = `its answer was whole, with a pause of ${pause} ms at server ${String(server)}`;
  if (relatedLines.some(({ number }) => number === SHEDDING_BEGUN)) {
    return `${summary}; the timers of its entry were lagging`;
  }
  if (serverMeanMs === undefined || othersMeanMs === undefined) return summary;
  const comparison = `usual pauses there are ${serverMeanMs.toFixed(0)} ms, at the others ${othersMeanMs.toFixed(0)} ms`;
  const verdict =
    serverMeanMs > othersMeanMs * SLOW_PAUSE_RATIO
      ? 'the server is slow'
      : 'the server is as fast as the others and was processing long prompts at that time';
  return `${summary}; ${comparison}: ${verdict}`;
}

/** Turns in a row that accepted a connection from which on connections wait in the listen queue. */
const LONG_ACCEPT_RUN = 5;

function explainCallerGone(end: LogLine): string {
  if (end.reason !== 'not-handled') return 'its caller disconnected';
  const { acceptRun, turnMs, waitedMs } = end;
  const summary = `its caller left before it was handled, ${String(waitedMs)} ms after it was read; no server got it`;
  if (Number(acceptRun) < LONG_ACCEPT_RUN) return summary;
  return `${summary}; connections were waiting to be accepted, for ${String(acceptRun)} turns of the event loop, the last of ${String(turnMs)} ms: the entry was short of processor time`;
}

function explainUnauthorized(end: LogLine): string {
  const { keys, version, configurationAgeMs } = end;
  if (keys === 0) return 'its caller sent no key';
  if (Number(keys) > 1) {
    return `its caller sent ${String(keys)} key headers, whose values differ or are unknown`;
  }
  const configuration = `configuration ${String(version)}, confirmed ${String(configurationAgeMs)} ms before`;
  if (keys === undefined) return `its key was revoked while it waited (${configuration})`;
  return `no tenant has its key, or it has not the form of a key (${configuration})`;
}

function explainRefused(end: LogLine): string {
  if (end.reason === 'stale-configuration') {
    const age =
      end.configurationAgeMs === undefined
        ? 'had never been confirmed'
        : `was last confirmed ${String(end.configurationAgeMs)} ms before`;
    return `its entry could not tell whether its key was still valid: the configuration ${age}`;
  }
  return REFUSAL_CAUSES[String(end.reason)] ?? `it was refused: ${String(end.reason)}`;
}

function explainLimited({ tenant, cause }: LogLine): string {
  const name = tenant === undefined ? '' : ` ${String(tenant)}`;
  return TOKEN_REFUSAL_CAUSES[String(cause)] ?? `its tenant${name} had reached its token limit`;
}

const CAUSES: Readonly<Record<string, (end: LogLine, evidence: OutcomeEvidence) => string>> = {
  answered: explainCompleteAnswer,
  refused: explainRefused,
  unauthorized: explainUnauthorized,
  limited: explainLimited,
  unknown: (_end, evidence) => explainFailedAttempt(evidence),
  'broken-off': (_end, evidence) => explainFailedAttempt(evidence),
  'caller-gone': explainCallerGone,
  starting: (end) =>
    end.isLeaving === true ? 'its entry was shutting down' : 'its entry knew no configuration yet',
  'no-route': () => 'no route of the configuration in force matches it',
};

/** Returns one sentence that says why a request ended as it did. */
export function explainOutcome(evidence: OutcomeEvidence): string {
  const end = evidence.requestLines.findLast(({ number }) => number === REQUEST_ENDED);
  if (end === undefined) return 'its end is not logged: its process was killed, or lines are lost';
  const kind = String(end.end);
  return `${kind}: ${CAUSES[kind]?.(end, evidence) ?? 'this version does not know this outcome'}`;
}
