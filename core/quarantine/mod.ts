/** Detection and quarantine of requests that crash servers. @module */
export { Quarantine } from './quarantine.ts';
export type { Admission, ObservedEnd, QuarantineOptions, Verdict } from './quarantine.ts';
export { REQUEST_POLICY, SHARED_TRAIT_POLICY } from './quarantinePolicy.ts';
export type { QuarantinePolicy } from './quarantinePolicy.ts';
export type {
  ClearanceRecord,
  EndRecord,
  QuarantineUpdate,
  VerdictRecord,
} from './quarantineUpdate.ts';
export { traitsOf } from './traits.ts';
export type { RequestFeatures, Trait } from './traits.ts';
export { requestTrait } from './requestTrait.ts';
export type { RequestIdentity } from './requestTrait.ts';
