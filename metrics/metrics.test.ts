import { expect } from 'chai';
import { Metrics } from './mod.ts';

describe('Metrics', () => {
  it('formats counters, gauges and histogram quantiles, one per line', () => {
    const metrics = new Metrics();
    metrics.count('requests_total', { end: 'answered' });
    metrics.count('requests_total', { end: 'answered' });
    metrics.gauge('open_requests', () => 3);
    for (let ms = 1; ms <= 100; ms += 1) metrics.record('request_ms', ms);
    const text = metrics.format();
    expect(text).to.include('requests_total{end="answered"} 2\n');
    expect(text).to.include('open_requests 3\n');
    expect(text).to.match(/request_ms\{quantile="0.5"\} 50\n/);
    expect(text).to.include('request_ms_count{} 100\n');
  });

  it('accepts durations of any size and sanitizes label values', () => {
    const metrics = new Metrics();
    metrics.record('request_ms', 1e9, { route: 'a"b\n' });
    metrics.record('request_ms', -5, { route: 'a"b\n' });
    expect(metrics.format()).to.include('request_ms_count{route="a_b_"} 2\n');
  });

  it('bounds the number of series when labels have too many values', () => {
    const metrics = new Metrics();
    for (let number = 0; number < 1000; number += 1) metrics.count('c', { id: String(number) });
    expect(metrics.format().split('\n').length).to.be.below(310);
    expect(metrics.format()).to.include('c{other="yes"} 700\n');
  });
});
