/** Ways of holding tenants' limits across entries, measured. @module */
export { LIMIT_CASES, LIMIT_WAYS, measureLimit, measureLimits } from './measureLimits.ts';
export type { LimitCase, LimitFigure, LimitWay } from './measureLimits.ts';
