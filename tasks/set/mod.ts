/** Keeps the published set of a process in force. @module */
export { SetTask } from './setTask.ts';
export type { SetNews, SetStatus, SetTaskOptions } from './setTask.ts';
