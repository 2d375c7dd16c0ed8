import winston from 'winston';
import { LOG_EVENTS } from './catalogue.ts';
import type { Level, Log } from './catalogue.ts';

/** How to build a log. */
export type LogOptions = {
  /** @default 'json' */
  readonly format?: 'json' | 'text';
  /** The least level that is written. @default 'info' */
  readonly level?: Level;
  /** Fields on every line, such as the host. */
  readonly fields?: Readonly<Record<string, string>>;
};

function textLine(info: winston.Logform.TransformableInfo): string {
  const { timestamp, level, message, number, ...rest } = info;
  const fields = Object.entries(rest).map(([key, value]) => `${key}=${String(value)}`);
  return `${String(timestamp)} ${level} ${String(number)} ${String(message)} ${fields.join(' ')}`;
}

/**
 * Creates a log that writes numbered events to standard error.
 *
 * @example
 * ```ts
 * const log = createLog({ format: 'text' });
 * log('processStarted', { host: 'e1' });
 * ```
 */
export function createLog(options: LogOptions = {}): Log {
  const { format = 'json', level = 'info', fields = {} } = options;
  const last = format === 'json' ? winston.format.json() : winston.format.printf(textLine);
  const logger = winston.createLogger({
    level,
    defaultMeta: fields,
    format: winston.format.combine(winston.format.timestamp(), last),
    transports: [
      new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] }),
    ],
  });
  return (name, values = {}) => {
    const event = LOG_EVENTS[name];
    logger.log({ level: event.level, message: event.message, number: event.number, ...values });
  };
}
