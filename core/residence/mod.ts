/** Which adapter versions an engine holds, and which requests it starts. @module */
export { Popularity } from './popularity.ts';
export { createAdaptiveRate, createStaticRate } from './loadRate.ts';
export type { AdaptiveRateOptions, LoadRate } from './loadRate.ts';
export { Residence } from './residence.ts';
export type {
  OrderResult,
  RequestName,
  ResidenceAction,
  ResidenceOptions,
  ResidenceOrder,
  ResidenceRequest,
} from './residence.ts';
