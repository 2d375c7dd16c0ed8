/** What is served and by whom: routes, services, engines and the backend servers that are published. @module */
export { ADAPTER_LOADS_AT_ONCE, isAdapter, splitModelName } from './backendServer.ts';
export type { BackendServer, Holding, ModelName } from './backendServer.ts';
export { selectRoute, selectService } from './deployment.ts';
export type {
  BaseModel,
  CallerLimits,
  Deployment,
  Engine,
  Repeatability,
  Route,
  Service,
  WeightedService,
} from './deployment.ts';
export { Fleet } from './fleet.ts';
export type { FleetChange } from './fleet.ts';
