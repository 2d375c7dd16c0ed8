/** Scheduling of adapter and base model loads on one engine. @module */
export { AdapterPlaces } from './adapterPlaces.ts';
export type { AdapterSchedulerOptions, EngineHoldings, PlaceOrder } from './adapterPlaces.ts';
