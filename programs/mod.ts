/** Starts the product's processes: entries, sidecars and stand-ins. @module */
export { startEntry } from './startEntry.ts';
export type { RunningProcess, StartEntryOptions } from './startEntry.ts';
export { startSidecar } from './startSidecar.ts';
export type { StartSidecarOptions } from './startSidecar.ts';
export { startStandins } from './startStandins.ts';
export type { RunningStandins } from './startStandins.ts';
