/** Compares the bytes of several ways to deliver set changes to readers. @module */
export { weighWays } from './weighWays.ts';
export type { DeliveryBytes } from './weighWays.ts';
