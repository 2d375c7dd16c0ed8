/** The entry's HTTP interface for callers. @module */
export { createCallerHandler } from './createCallerHandler.ts';
export type { CallerHandlerOptions, RequestServer } from './createCallerHandler.ts';
export { outcomeError, outcomeHeaders, outcomeStatus } from './outcomeStatus.ts';
