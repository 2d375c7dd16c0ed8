/** Facts that processes learn and pass on to each other. @module */
export { FactMap } from './factMap.ts';
export type { FactMapOptions } from './factMap.ts';
