import { Int32Histogram } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Milliseconds } from '../core/clock/mod.ts';

/** Labels of a counter or histogram. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Digits of a time that a histogram keeps: a few kilobytes for each series. */
const SIGNIFICANT_DIGITS = 2;

const QUANTILES = [50, 90, 95, 99, 99.9] as const;

/** The longest time that a histogram holds, in milliseconds; longer ones count as this. */
const LONGEST_MS: Milliseconds = 120_000;

/** Series of one process; further ones are counted together, so that memory is bounded. */
const MAX_SERIES = 300;

const REST = 'other="yes"';

function labelText(labels: MetricLabels): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}="${value.replace(/["\\\n]/g, '_')}"`)
    .join(',');
}

/** Counters, gauges and latency histograms of one process. */
export class Metrics {
  readonly #counters = new Map<string, Map<string, number>>();

  readonly #histograms = new Map<string, Map<string, Histogram>>();

  readonly #gauges = new Map<string, () => number>();

  #series = 0;

  /** Adds one to a counter. */
  count(name: string, labels: MetricLabels = {}): void {
    const series = this.#counters.get(name) ?? new Map<string, number>();
    this.#counters.set(name, series);
    const key = this.#keyOf(series, labelText(labels));
    series.set(key, (series.get(key) ?? 0) + 1);
  }

  /** Records a time. */
  record(name: string, tookMs: Milliseconds, labels: MetricLabels = {}): void {
    const series = this.#histograms.get(name) ?? new Map<string, Histogram>();
    this.#histograms.set(name, series);
    const key = this.#keyOf(series, labelText(labels));
    let histogram = series.get(key);
    if (histogram === undefined) {
      histogram = new Int32Histogram(1, LONGEST_MS, SIGNIFICANT_DIGITS);
      series.set(key, histogram);
    }
    histogram.recordValue(Math.min(LONGEST_MS, Math.max(0, Math.round(tookMs))));
  }

  /** Shows a value that is read whenever the metrics are. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read);
  }

  /** Returns all metrics, one a line. */
  format(): string {
    const lines: string[] = [];
    this.#gauges.forEach((read, name) => lines.push(`${name} ${read()}`));
    this.#counters.forEach((series, name) =>
      series.forEach((value, labels) => lines.push(`${name}{${labels}} ${value}`)),
    );
    this.#histograms.forEach((series, name) =>
      series.forEach((histogram, labels) => lines.push(...Metrics.#lines(name, labels, histogram))),
    );
    return `${lines.join('\n')}\n`;
  }

  static #lines(name: string, labels: string, histogram: Histogram): readonly string[] {
    const rest = labels === '' ? '' : `${labels},`;
    return [
      ...QUANTILES.map(
        (quantile) =>
          `${name}{${rest}quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile)}`,
      ),
      `${name}_max{${labels}} ${histogram.maxValue}`,
      `${name}_count{${labels}} ${histogram.totalCount}`,
    ];
  }

  /** Names a new series, or the common one once there are too many. */
  #keyOf(series: ReadonlyMap<string, unknown>, key: string): string {
    if (series.has(key)) return key;
    if (this.#series >= MAX_SERIES) return REST;
    this.#series += 1;
    return key;
  }
}
