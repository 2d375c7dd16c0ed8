/** Rendezvous hashing and the choice of the backend server for a request. @module */
export { hashText, rendezvousOrder, weightedRendezvousOrder } from './rendezvousOrder.ts';
export type { WeightedCandidate } from './rendezvousOrder.ts';
export { RouteTable } from './routeTable.ts';
export type { RouteTableOptions, ServerReport } from './routeTable.ts';
export type { RouteWeights } from './routeCost.ts';
