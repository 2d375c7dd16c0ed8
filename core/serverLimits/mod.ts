/** Limits that backend servers name. @module */
export { LimitRegistry } from './limitRegistry.ts';
export type { LimitRegistryOptions, ServerLimit } from './limitRegistry.ts';
export type { LimitRecord } from './limitRecord.ts';
