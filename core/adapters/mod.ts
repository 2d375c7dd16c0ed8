/** Scheduling of adapter and base model loads on one engine. @module */
export { AdapterScheduler } from './adapterScheduler.ts';
export type { AdapterSchedulerOptions, EngineHoldings, ModelOrder } from './adapterScheduler.ts';
