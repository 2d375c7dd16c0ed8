/** Compares methods of enforcing a tenant limit across several entries. @module */
export { LIMIT_CASES, LIMIT_METHODS, measureLimit, measureLimits } from './measureLimits.ts';
export type { LimitCase, LimitResult, LimitMethod } from './measureLimits.ts';
