/** Structured logging: the catalogue of numbered events and the log writer. @module */
export { LOG_EVENTS } from './catalogue.ts';
export type { Level, Log, LogEvent, LogEventName, LogFields } from './catalogue.ts';
export { createLog } from './createLog.ts';
export type { LogOptions } from './createLog.ts';
export { limitLogRate } from './limitLogRate.ts';
