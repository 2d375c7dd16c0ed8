/** Checks of the invariants that every scenario must keep. @module */
export { Observer } from './observer.ts';
export type { ObservedRequest, ObserverOptions } from './observer.ts';
