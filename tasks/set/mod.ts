/** How a published set reaches a process. @module */
export { SetTask } from './setTask.ts';
export type { SetTaskOptions } from './setTask.ts';
