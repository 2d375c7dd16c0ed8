import { timeOf } from './readLogLine.ts';
import type { LogLine } from './readLogLine.ts';
import type { RequestTrace } from './traceRequest.ts';

/** Fields that are not listed as `name=value`: they are shown separately or left out. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
  'timestamp',
  'level',
  'message',
  'number',
  'host',
  'role',
  'request',
]);

function formatLine(line: LogLine, startMs: number): string {
  const fields = Object.entries(line)
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  const offset = String(timeOf(line) - startMs).padStart(7);
  return `${offset} ms  ${line.number}  ${line.host ?? ''}  ${String(line.message)}: ${fields.join(' ')}`;
}

/** Formats a trace for a terminal: the request's lines, related lines of that time, and the cause. */
export function formatTrace({ requestLines, relatedLines, cause }: RequestTrace): string {
  const startMs = requestLines[0] === undefined ? 0 : timeOf(requestLines[0]);
  const show = (line: LogLine): string => formatLine(line, startMs);
  const relatedText =
    relatedLines.length === 0 ? [] : ['', 'around it:', ...relatedLines.map(show)];
  return [...requestLines.map(show), ...relatedText, '', cause].join('\n');
}
