/** Routes, services, engines and the published backend servers. @module */
export { MAX_CONCURRENT_ADAPTER_LOADS, isAdapter, splitModelName } from './backendServer.ts';
export type { BackendServer, Holding, ModelName } from './backendServer.ts';
export { selectRoute, selectService, selectTarget } from './deployment.ts';
export type {
  BaseModel,
  CallerLimits,
  Deployment,
  Engine,
  Repeatability,
  Route,
  Service,
  Tenant,
  TokenLimit,
  WeightedService,
} from './deployment.ts';
export { Fleet } from './fleet.ts';
export type { FleetChange } from './fleet.ts';
export { keyDigest } from './keyDigest.ts';
export type { KeyDigest } from './keyDigest.ts';
export { containsKey, withoutKey } from './withoutKey.ts';
