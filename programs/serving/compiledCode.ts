/** Whether a process started from the V8 code cache of its build. */
export type CodeCacheStatus = 'reused' | 'rejected' | 'none';

/** Environment variable in which the loader passes the `CodeCacheStatus` on, for the log line `processStarted`. */
export const COMPILED_CODE_VARIABLE = 'HYSSOPSPREAD_COMPILED_CODE';
