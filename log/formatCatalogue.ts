import { LOG_EVENTS } from './catalogue.ts';
import type { LogEvent } from './catalogue.ts';

const INTRODUCTION = `# Log events

Each line of the log is one numbered event, as JSON or text on standard error; \`[log]\` in the
settings selects the format and the minimum level. Every line has \`timestamp\`, \`level\`, \`number\`,
\`message\`, \`role\` and, except for stand-ins, \`host\`. A line about a request has \`request\`, the id
that the caller received in \`X-Request-Id\`, or \`exchange\`, the id of the request between an entry and
a sidecar; the entry's line about the end of a request has both.

This page is generated from \`log/catalogue.ts\` by \`npm run docs\`, and a test compares them.

| number | name | level | meaning | remedy |
| ------ | ---- | ----- | ------- | ------ |
`;

/** Formats the catalogue as Markdown, the text of docs/LOGS.md. */
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
