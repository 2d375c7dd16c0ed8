/** The clock interface, a virtual clock and repeating tasks. @module */
export type { Cancellation, Clock, Milliseconds } from './clock.ts';
export { repeat } from './repeat.ts';
export type { RepeatOptions } from './repeat.ts';
export { createVirtualClock } from './virtualClock.ts';
export type { VirtualClock } from './virtualClock.ts';
