import winston from 'winston';
import { LOG_EVENTS } from './catalogue.ts';
import type { Level, Log } from './catalogue.ts';
import { tidyFields } from './_tidyFields.ts';

/** How to build a log. */
export type LogOptions = {
  /** @default 'json' */
  readonly format?: 'json' | 'text';
  /** The lowest severity that is written. @default 'info' */
  readonly level?: Level;
  /** Fields added to every line, such as the host. */
  readonly fields?: Readonly<Record<string, string>>;
  /** Standard error or standard output. @default 'error' */
  readonly stream?: 'error' | 'output';
};

/** Bytes buffered for a slow reader of the log above which lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 1_000_000;

function formatTextLine(info: winston.Logform.TransformableInfo): string {
  const { timestamp, level, message, number, ...rest } = info;
  const fields = Object.entries(rest).map(([key, value]) => `${key}=${String(value)}`);
  return `${String(timestamp)} ${level} ${String(number)} ${String(message)} ${fields.join(' ')}`;
}

/**
 * Creates a log that writes numbered events.
 *
 * A slow reader never blocks the process: lines are dropped, and the next line that is written has
 * their count in its field `dropped`.
 *
 * @example
 * ```ts
 * const log = createLog({ format: 'text' });
 * log('processStarted', { host: 'e1' });
 * ```
 */
export function createLog(options: LogOptions = {}): Log {
  const { format = 'json', level = 'info', fields = {}, stream = 'error' } = options;
  const target = stream === 'error' ? process.stderr : process.stdout;
  let dropped = 0;
  const lineFormat =
    format === 'json' ? winston.format.json() : winston.format.printf(formatTextLine);
  const logger = winston.createLogger({
    level,
    defaultMeta: fields,
    format: winston.format.combine(winston.format.timestamp(), lineFormat),
    transports: [new winston.transports.Stream({ stream: target })],
  });
  return (name, values = {}) => {
    const event = LOG_EVENTS[name];
    if (target.writableLength > MAX_BUFFERED_BYTES) {
      dropped += 1;
      return;
    }
    const { level: eventLevel, message, number } = event;
    const line = { level: eventLevel, message, number, ...tidyFields(values) };
    logger.log(dropped > 0 ? { ...line, dropped } : line);
    dropped = 0;
  };
}
