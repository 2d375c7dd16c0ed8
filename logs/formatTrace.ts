import { timeOf } from './readLogLine.ts';
import type { LogLine } from './readLogLine.ts';
import type { RequestTrace } from './traceRequest.ts';

/** Fields that are shown before the others or not at all. */
const SHOWN_APART: ReadonlySet<string> = new Set([
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
    .filter(([name]) => !SHOWN_APART.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  const offset = String(timeOf(line) - startMs).padStart(7);
  return `${offset} ms  ${line.number}  ${line.host ?? ''}  ${String(line.message)}: ${fields.join(' ')}`;
}

/** Formats a trace for a terminal: the request's own lines, what happened around it, and the cause. */
export function formatTrace({ own, related, cause }: RequestTrace): string {
  const startMs = own[0] === undefined ? 0 : timeOf(own[0]);
  const show = (line: LogLine): string => formatLine(line, startMs);
  const around = related.length === 0 ? [] : ['', 'around it:', ...related.map(show)];
  return [...own.map(show), ...around, '', cause].join('\n');
}
