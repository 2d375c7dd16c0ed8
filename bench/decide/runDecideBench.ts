import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { RouteTable } from '../../core/placement/mod.ts';
import { createStaticRateLimiter, EngineScheduler } from '../../core/residence/mod.ts';
import type { SchedulerAction } from '../../core/residence/mod.ts';

/** One row of the benchmark. */
export type DecideRow = {
  readonly decision: 'route' | 'residence';
  /** Backend servers or waiting requests. */
  readonly size: number;
  readonly p50Us: number;
  readonly p99Us: number;
  readonly maxUs: number;
  /** Bytes that one decision allocates; absent unless the garbage collector can be run. */
  readonly bytes?: number;
};

/** How one more doubling of the size changes a decision's time. */
export type DecideSlope = { readonly decision: string; readonly p50Slope: number };

/** What to run. */
export type DecideBenchOptions = {
  /** Runs the garbage collector, when the process can. */
  readonly collectGarbage?: () => void;
};

const FLEETS = [50, 100, 200, 400] as const;

const QUEUES = [1250, 2500, 5000, 10_000] as const;

const ADAPTERS = 96_000;

const DECISIONS = 20_000;

const WARM_UP = 5000;

const NANOSECONDS_PER_US = 1000;

const HIGHEST_NS = 1e10;

const SLOTS = 4;

/** A deadline that no run reaches. */
const DEADLINE_MS = 1e9;

/** A step through the adapters that visits them in an order far from sorted. */
const STRIDE = 7919;

function createHistogram(): Histogram {
  return build({ highestTrackableValue: HIGHEST_NS, numberOfSignificantValueDigits: 3 });
}

function adapterName(index: number): string {
  return `t/a${(index * STRIDE) % ADAPTERS}@1`;
}

function rowOf(decision: DecideRow['decision'], size: number, times: Histogram): DecideRow {
  return {
    decision,
    size,
    p50Us: times.getValueAtPercentile(50) / NANOSECONDS_PER_US,
    p99Us: times.getValueAtPercentile(99) / NANOSECONDS_PER_US,
    maxUs: times.maxValue / NANOSECONDS_PER_US,
  };
}

function timed(times: Histogram | undefined, decide: () => void): void {
  const startedAt = process.hrtime.bigint();
  decide();
  times?.recordValue(Number(process.hrtime.bigint() - startedAt));
}

function createTable(servers: number): RouteTable {
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

function mayTake(): boolean {
  return true;
}

function allocatedBytes(decide: (index: number) => void, collectGarbage: () => void): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  for (let index = 0; index < WARM_UP; index += 1) decide(index);
  return Math.max(0, process.memoryUsage().heapUsed - before) / WARM_UP;
}

function measureRoutes(servers: number, options: DecideBenchOptions): DecideRow {
  const table = createTable(servers);
  const names = Array.from({ length: ADAPTERS }, (_, index) => adapterName(index));
  const times = createHistogram();
  for (let index = 0; index < WARM_UP + DECISIONS; index += 1) {
    const name = names[index % ADAPTERS]!;
    timed(index < WARM_UP ? undefined : times, () => table.choose(name, mayTake));
  }
  const row = rowOf('route', servers, times);
  const { collectGarbage } = options;
  if (collectGarbage === undefined) return row;
  const choose = (index: number): void => {
    table.choose(names[index]!, mayTake);
  };
  return { ...row, bytes: allocatedBytes(choose, collectGarbage) };
}

function createResidence(): EngineScheduler {
  const loadRate = createStaticRateLimiter(1e6);
  const residence = new EngineScheduler({ slots: SLOTS, batchWidth: 16, loadRate });
  residence.setResident([], 0);
  return residence;
}

/** Feeds a residence whose orders are obeyed at once, so that each event leads to a decision. */
class ResidenceLoad {
  readonly times = createHistogram();

  readonly #residence = createResidence();

  readonly #started: string[] = [];

  #added = 0;

  #now = 0;

  /** Adds a request. */
  add(): void {
    this.#now += 1;
    const name = `r${this.#added}`;
    const request = { name, adapterVersion: adapterName(this.#added), deadline: DEADLINE_MS };
    this.#added += 1;
    this.#decide(() => this.#residence.enqueue(request, this.#now));
  }

  /** Ends the request that started first. */
  finish(): void {
    const name = this.#started.shift() ?? '';
    this.#decide(() => this.#residence.handleRequestEnd(name, this.#now));
  }

  #decide(decide: () => readonly SchedulerAction[]): void {
    let actions: readonly SchedulerAction[] = [];
    timed(this.times, () => {
      actions = decide();
    });
    actions.forEach((action) => this.#perform(action));
  }

  #perform(action: SchedulerAction): void {
    if (action.kind === 'start') this.#started.push(action.request);
    if (action.kind !== 'order') return;
    this.#now += 1;
    this.#decide(() => this.#residence.handleOrderResult(action.order, 'obeyed', this.#now));
  }
}

function measureResidence(queued: number): DecideRow {
  const load = new ResidenceLoad();
  for (let index = 0; index < queued; index += 1) load.add();
  load.times.reset();
  for (let index = 0; index < DECISIONS; index += 1) {
    load.add();
    load.finish();
  }
  return rowOf('residence', queued, load.times);
}

function slopeOf(rows: readonly DecideRow[], decision: DecideRow['decision']): DecideSlope {
  const own = rows.filter((row) => row.decision === decision);
  const first = own[0]!;
  const last = own.at(-1)!;
  const doublings = Math.log2(last.size / first.size);
  return { decision, p50Slope: Math.log2(last.p50Us / first.p50Us) / doublings };
}

/**
 * Measures the time of one decision at several sizes.
 *
 * @returns The rows, and by which power of the size the median grows.
 */
export function runDecideBench(options: DecideBenchOptions = {}): {
  readonly rows: readonly DecideRow[];
  readonly slopes: readonly DecideSlope[];
} {
  const rows = [
    ...FLEETS.map((servers) => measureRoutes(servers, options)),
    ...QUEUES.map((queued) => measureResidence(queued)),
  ];
  return { rows, slopes: [slopeOf(rows, 'route'), slopeOf(rows, 'residence')] };
}
