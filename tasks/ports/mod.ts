/** Interfaces to external systems, implemented outside of the tasks. @module */
export type * from './engine.ts';
export type * from './plainService.ts';
export type * from './platform.ts';
export type * from './transport.ts';
