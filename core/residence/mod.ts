/** Schedules adapter loads, evictions and request starts for one engine. @module */
export { Popularity } from './popularity.ts';
export { createAdaptiveRateLimiter, createStaticRateLimiter } from './loadRate.ts';
export type { AdaptiveRateLimiterOptions, LoadRateLimiter } from './loadRate.ts';
export { EngineScheduler } from './engineScheduler.ts';
export type {
  OrderResult,
  RequestName,
  SchedulerAction,
  EngineSchedulerOptions,
  SchedulerOrder,
  SchedulerRequest,
} from './engineScheduler.ts';
