/** Limits that backend servers name, kept by all entries together with permits. @module */
export { LimitRegistry } from './limitRegistry.ts';
export type { LimitRegistryOptions, ServerLimit } from './limitRegistry.ts';
export type { LimitRecord } from './limitRecord.ts';
export { PermitHolder } from './permitHolder.ts';
export type { PermitDemand, PermitHolderOptions } from './permitHolder.ts';
export { PermitIssuer } from './permitIssuer.ts';
export type { PermitIssuerOptions, PermitGrant, Reach } from './permitIssuer.ts';
export type { PermitAnswer, PermitRequest } from './permitMessages.ts';
