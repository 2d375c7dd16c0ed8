/** The product's processes, put together from tasks and sockets. @module */
export { startEntry } from './startEntry.ts';
export type { Running, StartEntryOptions } from './startEntry.ts';
export { startSidecar } from './startSidecar.ts';
export type { StartSidecarOptions } from './startSidecar.ts';
export { startStandins } from './startStandins.ts';
export type { RunningStandins } from './startStandins.ts';
