import winston from 'winston';
import { LOG_EVENTS } from './catalogue.ts';
import type { Level, Log } from './catalogue.ts';
import { tidyFields } from './_tidyFields.ts';

/** How to build a log. */
export type LogOptions = {
  /** @default 'json' */
  readonly format?: 'json' | 'text';
  /** The least level that is written. @default 'info' */
  readonly level?: Level;
  /** Fields on every line, such as the host. */
  readonly fields?: Readonly<Record<string, string>>;
  /** Where lines go: standard error or standard output. @default 'error' */
  readonly stream?: 'error' | 'output';
};

/** Bytes waiting for a slow reader of the log above which lines are dropped and counted. */
const MAX_WAITING_BYTES = 1_000_000;

function textLine(info: winston.Logform.TransformableInfo): string {
  const { timestamp, level, message, number, ...rest } = info;
  const fields = Object.entries(rest).map(([key, value]) => `${key}=${String(value)}`);
  return `${String(timestamp)} ${level} ${String(number)} ${String(message)} ${fields.join(' ')}`;
}

/**
 * Creates a log that writes numbered events.
 *
 * A reader that is too slow never blocks the process: lines are dropped, and the next line that is
 * written carries their count.
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
  const last = format === 'json' ? winston.format.json() : winston.format.printf(textLine);
  const logger = winston.createLogger({
    level,
    defaultMeta: fields,
    format: winston.format.combine(winston.format.timestamp(), last),
    transports: [new winston.transports.Stream({ stream: target })],
  });
  return (name, values = {}) => {
    const event = LOG_EVENTS[name];
    if (target.writableLength > MAX_WAITING_BYTES) {
      dropped += 1;
      return;
    }
    const { level: eventLevel, message, number } = event;
    const line = { level: eventLevel, message, number, ...tidyFields(values) };
    logger.log(dropped > 0 ? { ...line, dropped } : line);
    dropped = 0;
  };
}
