/** Admission at an entry: which request waits, starts next, or is refused, and when to come back. @module */
export { ClassShares } from './classShares.ts';
export type { ClassSharesOptions } from './classShares.ts';
export { Departures } from './departures.ts';
export { PrefillLoad } from './prefillLoad.ts';
export type { SentPrefill } from './prefillLoad.ts';
export { RefusalSchedule } from './refusalSchedule.ts';
export type { Appointment, Refusal } from './refusalSchedule.ts';
export { RequestQueue } from './requestQueue.ts';
export type {
  Offer,
  QueuedRequest,
  QueueRefusalReason,
  RequestQueueOptions,
  ServiceRate,
} from './requestQueue.ts';
export { hasCapacity, hasPrefillCapacity } from './serverCapacity.ts';
export type { CapacityRequest, CapacityView } from './serverCapacity.ts';
export { usesAdmissionQueue } from './usesAdmissionQueue.ts';
export { expectedOutputTokens, workOf } from './workOf.ts';
export type { WorkInputs } from './workOf.ts';
