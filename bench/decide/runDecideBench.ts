import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { RouteTable } from '../../core/placement/mod.ts';
import { createStaticRateLimiter, EngineScheduler } from '../../core/residence/mod.ts';
import type { SchedulerAction } from '../../core/residence/mod.ts';

/** The decision times at one size. */
export type DecideRow = {
  readonly decision: 'route' | 'residence';
  /** Number of backend servers (`route`) or waiting requests (`residence`). */
  readonly size: number;
  readonly p50Us: number;
  readonly p99Us: number;
  readonly maxUs: number;
  /** Bytes allocated per decision; absent unless the garbage collector can be called. */
  readonly bytes?: number;
};

/** The exponent by which the median time grows with the size; 1 is linear. */
export type DecideSlope = { readonly decision: string; readonly p50Slope: number };

/** Options of `runDecideBench`. */
export type DecideBenchOptions = {
  /** Runs the garbage collector, if the process exposes it. */
  readonly collectGarbage?: () => void;
};

const SERVER_COUNTS = [50, 100, 200, 400] as const;

const QUEUE_LENGTHS = [1250, 2500, 5000, 10_000] as const;

const ADAPTER_COUNT = 96_000;

const MEASURED_DECISIONS = 20_000;

const WARM_UP_DECISIONS = 5000;

const NANOSECONDS_PER_MICROSECOND = 1000;

const MAX_TRACKABLE_NS = 1e10;

const SLOTS = 4;

/** A deadline beyond the end of every run. */
const DEADLINE_MS = 1e9;

/** Stride through the adapters, so that they are not visited in sorted order. */
const ADAPTER_STRIDE = 7919;

function createHistogram(): Histogram {
  return build({ highestTrackableValue: MAX_TRACKABLE_NS, numberOfSignificantValueDigits: 3 });
}

function adapterName(index: number): string {
  return `t/a${(index * ADAPTER_STRIDE) % ADAPTER_COUNT}@1`;
}

function createRow(decision: DecideRow['decision'], size: number, times: Histogram): DecideRow {
  return {
    decision,
    size,
    p50Us: times.getValueAtPercentile(50) / NANOSECONDS_PER_MICROSECOND,
    p99Us: times.getValueAtPercentile(99) / NANOSECONDS_PER_MICROSECOND,
    maxUs: times.maxValue / NANOSECONDS_PER_MICROSECOND,
  };
}

function recordTime(times: Histogram | undefined, decide: () => void): void {
  const startedAt = process.hrtime.bigint();
  decide();
  times?.recordValue(Number(process.hrtime.bigint() - startedAt));
}

function createRouteTable(servers: number): RouteTable {
  const table = new RouteTable({ policy: 'load-stalls' });
  for (let index = 0; index < servers; index += 1) {
    const host = `h${index}`;
    table.add(host, index % 2);
    const resident = Array.from({ length: SLOTS }, (_, slot) => adapterName(index * SLOTS + slot));
    table.applyReport({
      host,
      running: index % 16,
      waiting: 0,
      batchWidth: 16,
      resident,
      wanted: [],
      freeSlots: 1,
      displacedUses: 1,
    });
  }
  return table;
}

function acceptAny(): boolean {
  return true;
}

function measureAllocation(decide: (index: number) => void, collectGarbage: () => void): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  for (let index = 0; index < WARM_UP_DECISIONS; index += 1) decide(index);
  return Math.max(0, process.memoryUsage().heapUsed - before) / WARM_UP_DECISIONS;
}

function measureRouting(servers: number, options: DecideBenchOptions): DecideRow {
  const table = createRouteTable(servers);
  const names = Array.from({ length: ADAPTER_COUNT }, (_, index) => adapterName(index));
  const times = createHistogram();
  for (let index = 0; index < WARM_UP_DECISIONS + MEASURED_DECISIONS; index += 1) {
    const name = names[index % ADAPTER_COUNT]!;
    recordTime(index < WARM_UP_DECISIONS ? undefined : times, () => table.choose(name, acceptAny));
  }
  const row = createRow('route', servers, times);
  const { collectGarbage } = options;
  if (collectGarbage === undefined) return row;
  const choose = (index: number): void => {
    table.choose(names[index]!, acceptAny);
  };
  return { ...row, bytes: measureAllocation(choose, collectGarbage) };
}

function createScheduler(): EngineScheduler {
  const loadRate = createStaticRateLimiter(1e6);
  const scheduler = new EngineScheduler({ slots: SLOTS, batchWidth: 16, loadRate });
  scheduler.setResident([], 0);
  return scheduler;
}

/** Drives a scheduler whose orders succeed at once. */
class SchedulerLoad {
  readonly times = createHistogram();

  readonly #scheduler = createScheduler();

  readonly #startedRequests: string[] = [];

  #requestCount = 0;

  #now = 0;

  /** Enqueues a request. */
  enqueueRequest(): void {
    this.#now += 1;
    const name = `r${this.#requestCount}`;
    const request = {
      name,
      adapterVersion: adapterName(this.#requestCount),
      deadline: DEADLINE_MS,
    };
    this.#requestCount += 1;
    this.#decide(() => this.#scheduler.enqueue(request, this.#now));
  }

  /** Ends the request that started first. */
  finishRequest(): void {
    const name = this.#startedRequests.shift() ?? '';
    this.#decide(() => this.#scheduler.handleRequestEnd(name, this.#now));
  }

  #decide(decide: () => readonly SchedulerAction[]): void {
    let actions: readonly SchedulerAction[] = [];
    recordTime(this.times, () => {
      actions = decide();
    });
    actions.forEach((action) => this.#perform(action));
  }

  #perform(action: SchedulerAction): void {
    if (action.kind === 'start') this.#startedRequests.push(action.request);
    if (action.kind !== 'order') return;
    this.#now += 1;
    this.#decide(() => this.#scheduler.handleOrderResult(action.order, 'obeyed', this.#now));
  }
}

function measureScheduling(queued: number): DecideRow {
  const load = new SchedulerLoad();
  for (let index = 0; index < queued; index += 1) load.enqueueRequest();
  load.times.reset();
  for (let index = 0; index < MEASURED_DECISIONS; index += 1) {
    load.enqueueRequest();
    load.finishRequest();
  }
  return createRow('residence', queued, load.times);
}

function computeSlope(rows: readonly DecideRow[], decision: DecideRow['decision']): DecideSlope {
  const own = rows.filter((row) => row.decision === decision);
  const first = own[0]!;
  const last = own.at(-1)!;
  const doublings = Math.log2(last.size / first.size);
  return { decision, p50Slope: Math.log2(last.p50Us / first.p50Us) / doublings };
}

/**
 * Measures the time of routing and scheduling decisions at several sizes.
 *
 * @returns The rows, and the growth of the median with the size.
 */
export function runDecideBench(options: DecideBenchOptions = {}): {
  readonly rows: readonly DecideRow[];
  readonly slopes: readonly DecideSlope[];
} {
  const rows = [
    ...SERVER_COUNTS.map((servers) => measureRouting(servers, options)),
    ...QUEUE_LENGTHS.map((queued) => measureScheduling(queued)),
  ];
  return { rows, slopes: [computeSlope(rows, 'route'), computeSlope(rows, 'residence')] };
}
