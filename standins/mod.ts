/** Small stand-ins for the systems round the product. @module */
export { answerToken, wholeAnswer } from './answers.ts';
export { ConfigurationModel } from './configurationModel.ts';
export { EngineModel } from './engineModel.ts';
export type { EngineModelOptions, OrderRecord } from './engineModel.ts';
export { serveEngine } from './engineServer.ts';
export { servePlatform } from './platformServer.ts';
export type { HostListModel } from './platformServer.ts';
export { ServiceModel, serveService } from './serviceModel.ts';
export { WeightStore } from './weightStore.ts';
export type { WeightStoreOptions } from './weightStore.ts';
