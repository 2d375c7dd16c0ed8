import { Int32Histogram } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Milliseconds } from '../core/clock/mod.ts';

/** Labels of a counter or histogram. */
export type MetricLabels = Readonly<Record<string, string>>;

/** One sample of a group of metrics that is read when the metrics are formatted. */
export type MetricSample = { readonly labels: MetricLabels; readonly value: number };

/** Significant digits of a recorded time; two keep a series at a few kilobytes. */
const SIGNIFICANT_DIGITS = 2;

const PERCENTILES = [50, 90, 95, 99, 99.9] as const;

/** The longest time that a histogram holds; longer times are recorded as this value. */
const MAX_RECORDED_MS: Milliseconds = 120_000;

/** Maximum number of series of one process; further ones of a metric share one, which bounds memory. */
const MAX_SERIES = 300;

const OVERFLOW_LABELS = 'other="yes"';

function formatLabels(labels: MetricLabels): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}="${value.replace(/["\\\n]/g, '_')}"`)
    .join(',');
}

/** Counters, gauges and latency histograms of one process. */
export class Metrics {
  readonly #counters = new Map<string, Map<string, number>>();

  readonly #histograms = new Map<string, Map<string, Histogram>>();

  readonly #gauges = new Map<string, () => number>();

  readonly #groups = new Map<string, () => readonly MetricSample[]>();

  #seriesCount = 0;

  /** Increments a counter, by 1 unless told otherwise. */
  count(name: string, labels: MetricLabels = {}, amount = 1): void {
    const series = this.#counters.get(name) ?? new Map<string, number>();
    this.#counters.set(name, series);
    const key = this.#seriesKey(series, formatLabels(labels));
    series.set(key, (series.get(key) ?? 0) + amount);
  }

  /** Records a duration in a histogram. */
  record(name: string, tookMs: Milliseconds, labels: MetricLabels = {}): void {
    const series = this.#histograms.get(name) ?? new Map<string, Histogram>();
    this.#histograms.set(name, series);
    const key = this.#seriesKey(series, formatLabels(labels));
    let histogram = series.get(key);
    if (histogram === undefined) {
      histogram = new Int32Histogram(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS);
      series.set(key, histogram);
    }
    histogram.recordValue(Math.min(MAX_RECORDED_MS, Math.max(0, Math.round(tookMs))));
  }

  /** Registers a gauge; `read` is called whenever the metrics are formatted. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read);
  }

  /**
   * Registers samples that differ in their labels, of which the caller bounds the number; `read` is called
   * whenever the metrics are formatted.
   */
  group(name: string, read: () => readonly MetricSample[]): void {
    this.#groups.set(name, read);
  }

  /** Formats all metrics as text, one sample per line. */
  format(): string {
    const lines: string[] = [];
    this.#gauges.forEach((read, name) => lines.push(`${name} ${read()}`));
    this.#groups.forEach((read, name) =>
      read().forEach(({ labels, value }) =>
        lines.push(`${name}{${formatLabels(labels)}} ${value}`),
      ),
    );
    this.#counters.forEach((series, name) =>
      series.forEach((value, labels) => lines.push(`${name}{${labels}} ${value}`)),
    );
    this.#histograms.forEach((series, name) =>
      series.forEach((histogram, labels) =>
        lines.push(...Metrics.#formatHistogram(name, labels, histogram)),
      ),
    );
    return `${lines.join('\n')}\n`;
  }

  static #formatHistogram(name: string, labels: string, histogram: Histogram): readonly string[] {
    const labelPrefix = labels === '' ? '' : `${labels},`;
    return [
      ...PERCENTILES.map(
        (percentile) =>
          `${name}{${labelPrefix}quantile="${percentile / 100}"} ${histogram.getValueAtPercentile(percentile)}`,
      ),
      `${name}_max{${labels}} ${histogram.maxValue}`,
      `${name}_count{${labels}} ${histogram.totalCount}`,
    ];
  }

  /** Returns the key of a series: its own labels, or `OVERFLOW_LABELS` once there are `MAX_SERIES`. */
  #seriesKey(series: ReadonlyMap<string, unknown>, key: string): string {
    if (series.has(key)) return key;
    if (this.#seriesCount >= MAX_SERIES) return OVERFLOW_LABELS;
    this.#seriesCount += 1;
    return key;
  }
}
