/** Keeps the configuration set of a process up to date. @module */
export { SetTask } from './setTask.ts';
export type { SetEvent, SetStatus, SetTaskOptions } from './setTask.ts';
