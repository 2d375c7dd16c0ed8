/** Scheduling of adapter and base model loads on one engine. @module */
export { AdapterPlaces } from './adapterPlaces.ts';
export type { AdapterPlacesOptions, EngineHoldings, PlaceOrder } from './adapterPlaces.ts';
