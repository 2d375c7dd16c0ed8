/** Which adapters and base models one engine holds. @module */
export { AdapterPlaces } from './adapterPlaces.ts';
export type { AdapterPlacesOptions, EngineHoldings, PlaceOrder } from './adapterPlaces.ts';
