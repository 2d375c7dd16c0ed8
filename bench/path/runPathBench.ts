import { readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { build } from 'hdr-histogram-js';
import { FLEET_TOKEN, ProcessFleet } from '../../programs/testing/processFleet.ts';
import { openCountedStream } from './_streams.ts';
import type { CountedStream, StreamTarget } from './_streams.ts';

/** Time to the first token, in milliseconds. */
export type FirstTokenTimes = { readonly p50: number; readonly p95: number };

/** What a target asks and whether it was met. */
export type PathTarget = {
  readonly name: string;
  readonly target: number;
  readonly measured: number;
  readonly met: boolean;
};

/** Everything that the bench of the path measured. */
export type PathRecord = {
  readonly note: string;
  readonly streamsOpen: number;
  readonly firstTokenMs: { readonly engine: FirstTokenTimes; readonly entry: FirstTokenTimes };
  readonly tokensPerSecond: { readonly engine: number; readonly entry: number };
  readonly requestsPerSecond: { readonly engine: number; readonly entry: number };
  readonly bytesPerStream: { readonly entry: number; readonly sidecar: number };
  /** Growth of the entry from the end of one round of closing all streams to that of the next. */
  readonly bytesAfterClosing: { readonly entry: number; readonly sidecar: number };
  readonly targets: readonly PathTarget[];
};

const OPEN_STREAMS = 500;
const CLOSED_STREAMS = 1000;
const ROUNDS_BEFORE = 3;
const LONG_TOKENS = 32_768;
const PROBES = 600;
const PROBES_AT_ONCE = 6;
const THROUGHPUT_STREAMS = 200;
const THROUGHPUT_MS = 4000;
const REQUESTS_AT_ONCE = 64;
const SETTLE_MS = 1500;
const PAGE_BYTES = 4096;
const MAX_ADDED_MS = 2;
const MIN_TOKENS_PER_SECOND = 40_000;
const MAX_BYTES_PER_STREAM = 20_000;
const MAX_GROWTH_BYTES = 1_000_000;

const MODERATE = 'batch_width = 10000\nstep_time = 50ms\nsequence_microseconds = 0';
const FAST = 'batch_width = 10000\nstep_time = 1ms\nsequence_microseconds = 0';

type Targets = { readonly engine: StreamTarget; readonly entry: StreamTarget };

function targetsOf(fleet: ProcessFleet): Targets {
  const headers = { authorization: `Bearer ${FLEET_TOKEN}` };
  return {
    engine: { url: fleet.engineUrl, headers: { 'x-priority': '0' } },
    entry: { url: fleet.url, headers },
  };
}

async function withFleet<T>(
  engineSettings: string,
  run: (fleet: ProcessFleet, targets: Targets) => Promise<T>,
): Promise<T> {
  const fleet = await ProcessFleet.start({ engines: ['engine-1'], engineSettings });
  try {
    const targets = targetsOf(fleet);
    await (
      await openCountedStream(targets.entry, 1)
    ).tokens;
    return await run(fleet, targets);
  } finally {
    await fleet.stop();
  }
}

function openAll(target: StreamTarget, count: number): Promise<readonly CountedStream[]> {
  return Promise.all(Array.from({ length: count }, () => openCountedStream(target, LONG_TOKENS)));
}

async function closeAll(streams: readonly CountedStream[]): Promise<void> {
  streams.forEach((stream) => stream.close());
  await Promise.all(streams.map((stream) => stream.tokens));
  await sleep(SETTLE_MS);
}

async function probe(target: StreamTarget): Promise<FirstTokenTimes> {
  const background = await openAll(target, OPEN_STREAMS);
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  let left = PROBES;
  const work = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const stream = await openCountedStream(target, 1);
      histogram.recordValue(Math.round(stream.firstTokenMs * 1000));
      await stream.tokens;
    }
  };
  await Promise.all(Array.from({ length: PROBES_AT_ONCE }, work));
  await closeAll(background);
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1000;
  return { p50: at(50), p95: at(95) };
}

async function countTokens(target: StreamTarget): Promise<number> {
  let tokens = 0;
  const streams = await Promise.all(
    Array.from({ length: THROUGHPUT_STREAMS }, () =>
      openCountedStream(target, LONG_TOKENS, (count) => {
        tokens += count;
      }),
    ),
  );
  tokens = 0;
  const startedAt = performance.now();
  await sleep(THROUGHPUT_MS);
  const rate = (tokens * 1000) / (performance.now() - startedAt);
  await closeAll(streams);
  return Math.round(rate);
}

async function countRequests(target: StreamTarget): Promise<number> {
  const startedAt = performance.now();
  let requests = 0;
  const work = async (): Promise<void> => {
    while (performance.now() - startedAt < THROUGHPUT_MS) {
      await (
        await openCountedStream(target, 1)
      ).tokens;
      requests += 1;
    }
  };
  await Promise.all(Array.from({ length: REQUESTS_AT_ONCE }, work));
  return Math.round((requests * 1000) / (performance.now() - startedAt));
}

function residentBytes(pid: number): number {
  return Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]) * PAGE_BYTES;
}

type Memory = { readonly entry: number; readonly sidecar: number };

function memoryOf(fleet: ProcessFleet): Memory {
  const sidecar = fleet.sidecars.get('engine-1');
  return { entry: residentBytes(fleet.entry.pid), sidecar: residentBytes(sidecar?.pid ?? 0) };
}

function growth(from: Memory, to: Memory, per: number): Memory {
  return {
    entry: Math.round((to.entry - from.entry) / per),
    sidecar: Math.round((to.sidecar - from.sidecar) / per),
  };
}

async function measureMemory(
  fleet: ProcessFleet,
  target: StreamTarget,
): Promise<Pick<PathRecord, 'bytesPerStream' | 'bytesAfterClosing'>> {
  const before = memoryOf(fleet);
  const first = await openAll(target, CLOSED_STREAMS);
  const bytesPerStream = growth(before, memoryOf(fleet), CLOSED_STREAMS);
  await closeAll(first);
  for (let round = 1; round < ROUNDS_BEFORE; round += 1) {
    await closeAll(await openAll(target, CLOSED_STREAMS));
  }
  const warm = memoryOf(fleet);
  await closeAll(await openAll(target, CLOSED_STREAMS));
  return { bytesPerStream, bytesAfterClosing: growth(warm, memoryOf(fleet), 1) };
}

function atMost(name: string, target: number, measured: number): PathTarget {
  return { name, target, measured, met: measured <= target };
}

function atLeast(name: string, target: number, measured: number): PathTarget {
  return { name, target, measured, met: measured >= target };
}

/**
 * Measures the path through one entry and one sidecar, each a process of its own, against the
 * stand-in engine asked directly.
 *
 * @param note What to know of the run, such as other load on the machine.
 * @param progress Told of each part as it starts.
 */
export async function runPathBench(
  note: string,
  progress: (text: string) => void,
): Promise<PathRecord> {
  progress('time to the first token, and memory');
  const moderate = await withFleet(MODERATE, async (fleet, { engine, entry }) => {
    const memory = await measureMemory(fleet, entry);
    return { memory, firstTokenMs: { engine: await probe(engine), entry: await probe(entry) } };
  });
  progress('tokens and requests a second');
  const fast = await withFleet(FAST, async (_fleet, { engine, entry }) => ({
    tokensPerSecond: { engine: await countTokens(engine), entry: await countTokens(entry) },
    requestsPerSecond: { engine: await countRequests(engine), entry: await countRequests(entry) },
  }));
  const { memory, firstTokenMs } = moderate;
  const added = Math.round((firstTokenMs.entry.p95 - firstTokenMs.engine.p95) * 1000) / 1000;
  const { bytesPerStream, bytesAfterClosing } = memory;
  return {
    note,
    streamsOpen: OPEN_STREAMS,
    firstTokenMs,
    ...fast,
    ...memory,
    targets: [
      atMost('first token added at p95, ms', MAX_ADDED_MS, added),
      atLeast(
        'tokens a second through one entry',
        MIN_TOKENS_PER_SECOND,
        fast.tokensPerSecond.entry,
      ),
      atMost('bytes of the entry per stream', MAX_BYTES_PER_STREAM, bytesPerStream.entry),
      atMost('bytes of the sidecar per stream', MAX_BYTES_PER_STREAM, bytesPerStream.sidecar),
      atMost('growth of the entry after closing, bytes', MAX_GROWTH_BYTES, bytesAfterClosing.entry),
      atMost(
        'growth of the sidecar after closing, bytes',
        MAX_GROWTH_BYTES,
        bytesAfterClosing.sidecar,
      ),
    ],
  };
}
