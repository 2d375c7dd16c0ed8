/** Counters, gauges and latency histograms of a process. @module */
export { Metrics } from './metrics.ts';
export type { MetricLabels } from './metrics.ts';
