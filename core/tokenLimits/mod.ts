/** Token limits of tenants over all entries, kept by leases on tokens. @module */
export { HEARD_MAX_AGE_MS } from './_fleetShare.ts';
export type { FleetView } from './_fleetShare.ts';
export type { LeaseAnswer, LeaseRequest } from './leaseMessages.ts';
export { planLimit, windowAllowance } from './planLimit.ts';
export type { LimitBounds, LimitPlan } from './planLimit.ts';
export { TokenLimitHolder } from './tokenLimitHolder.ts';
export type {
  LeaseResult,
  TokenDecision,
  TokenDemand,
  TokenLimitHolderOptions,
  TokenRefusal,
  TokenRefusalCause,
  TokenUse,
} from './tokenLimitHolder.ts';
export { TokenLimitIssuer } from './tokenLimitIssuer.ts';
export type { TokenLimitIssuerOptions } from './tokenLimitIssuer.ts';
