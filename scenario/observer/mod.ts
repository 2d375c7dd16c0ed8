/** Checks that hold in every scenario. @module */
export { Observer } from './observer.ts';
export type { ObservedRequest, ObserverOptions } from './observer.ts';
