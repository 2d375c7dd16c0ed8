/** Compares ways by which changes of the set reach readers. @module */
export { weighWays } from './weighWays.ts';
export type { WayBytes } from './weighWays.ts';
