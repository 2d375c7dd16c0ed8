/** Compares the bytes of several ways to deliver set changes to readers. @module */
export { compareDeliveryBytes } from './compareDeliveryBytes.ts';
export type { DeliveryBytes } from './compareDeliveryBytes.ts';
