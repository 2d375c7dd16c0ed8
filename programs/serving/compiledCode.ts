/** Whether a process was started with code compiled before. */
export type CompiledCode = 'reused' | 'rejected' | 'none';

/** Environment variable in which the loader tells the process of it, for its first log line. */
export const COMPILED_CODE_VARIABLE = 'HYSSOPSPREAD_COMPILED_CODE';
