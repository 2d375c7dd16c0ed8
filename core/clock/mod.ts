/** The clock interface and a virtual clock. @module */
export type { Cancellation, Clock, Milliseconds } from './clock.ts';
export { createVirtualClock } from './virtualClock.ts';
export type { VirtualClock } from './virtualClock.ts';
