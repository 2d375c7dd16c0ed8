/** Schedules adapter loads, evictions and request starts for one engine. @module */
export { Popularity } from './popularity.ts';
export { createAdaptiveRate, createStaticRate } from './loadRate.ts';
export type { AdaptiveRateLimiterOptions, LoadRate } from './loadRate.ts';
export { Residence } from './residence.ts';
export type {
  OrderResult,
  RequestName,
  ResidenceAction,
  ResidenceOptions,
  ResidenceOrder,
  SchedulerRequest,
} from './residence.ts';
