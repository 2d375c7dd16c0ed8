/** What tasks need of the world outside. @module */
export type * from './engine.ts';
export type * from './plainService.ts';
export type * from './platform.ts';
export type * from './transport.ts';
