import { LOG_EVENTS } from './catalogue.ts';
import type { LogEvent } from './catalogue.ts';

const INTRODUCTION = `# Log events

Each line of the log is one numbered event, as JSON or text on standard error; \`[log]\` in the
settings chooses the form and the least level. Every line has \`timestamp\`, \`level\`, \`number\`,
\`message\`, \`role\` and, but for stand-ins, \`host\`. A line that belongs to a request has \`request\`,
the name that the caller got in \`X-Request-Id\`, or \`exchange\`, the name of the request between an
entry and a sidecar; the entry's line about the end of a request has both.

This page is generated from \`log/catalogue.ts\` by \`npm run docs\`, and a test compares them.

| number | name | level | meaning | remedy |
| ------ | ---- | ----- | ------- | ------ |
`;

/** Returns docs/LOGS.md. */
export function formatCatalogue(): string {
  const entries: readonly (readonly [string, LogEvent])[] = Object.entries(LOG_EVENTS);
  const rows = entries
    .map(([name, event]) => ({ name, ...event }))
    .sort((a, b) => a.number.localeCompare(b.number))
    .map(({ name, number, level, message, remedy }) =>
      ['', number, `\`${name}\``, level, message, remedy, ''].join(' | ').trim(),
    );
  return `${INTRODUCTION}${rows.join('\n')}\n`;
}
