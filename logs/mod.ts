/** Reads process logs and traces a request through them. @module */
export { formatTrace } from './formatTrace.ts';
export { readLogLine, timeOf } from './readLogLine.ts';
export type { LogLine } from './readLogLine.ts';
export { traceRequest } from './traceRequest.ts';
export type { RequestTrace } from './traceRequest.ts';
