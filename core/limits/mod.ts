/** Tenant limits over all entries, each of which enforces its share. @module */
export { chooseRelays } from './chooseRelays.ts';
export { DemandMeter } from './demandMeter.ts';
export { DemandRelay } from './demandRelay.ts';
export type { DemandRelayOptions } from './demandRelay.ts';
export { TenantLimiter } from './tenantLimiter.ts';
export type { TenantLimiterOptions, LimitUse } from './tenantLimiter.ts';
export { shareOfLimit } from './shareOfLimit.ts';
export type { ShareInputs } from './shareOfLimit.ts';
export type { DemandTotal, TenantDemand } from './tenantDemand.ts';
export { TokenBucket } from './tokenBucket.ts';
