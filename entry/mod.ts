/** The HTTP API that an entry serves to callers. @module */
export { createCallerHandler } from './createCallerHandler.ts';
export type { CallerHandlerOptions, CallerRequestTask } from './createCallerHandler.ts';
export { outcomeError, outcomeHeaders, outcomeStatus } from './outcomeStatus.ts';
