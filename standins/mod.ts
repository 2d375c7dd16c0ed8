/** Stand-ins for the external systems: engines, weight store, configuration and services. @module */
export { completionToken, completionText } from './completionText.ts';
export { SimulatedConfiguration } from './simulatedConfiguration.ts';
export { SimulatedEngine } from './simulatedEngine.ts';
export type { SimulatedEngineOptions, OrderRecord } from './simulatedEngine.ts';
export { serveEngine } from './engineServer.ts';
export { servePlatform } from './platformServer.ts';
export type { MutableHostList } from './platformServer.ts';
export { SimulatedService, serveService } from './simulatedService.ts';
export { WeightStore } from './weightStore.ts';
export type { WeightStoreOptions } from './weightStore.ts';
