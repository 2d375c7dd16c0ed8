/** Stand-ins for the external systems: engines, weight store, configuration and services. @module */
export { completionToken, wholeAnswer } from './answers.ts';
export { ConfigurationModel } from './configurationModel.ts';
export { EngineModel } from './engineModel.ts';
export type { EngineModelOptions, OrderRecord } from './engineModel.ts';
export { serveEngine } from './engineServer.ts';
export { servePlatform } from './platformServer.ts';
export type { MutableHostList } from './platformServer.ts';
export { ServiceModel, serveService } from './serviceModel.ts';
export { WeightStore } from './weightStore.ts';
export type { WeightStoreOptions } from './weightStore.ts';
