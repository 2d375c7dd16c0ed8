import { readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { build } from 'hdr-histogram-js';
import { FLEET_TOKEN, ProcessFleet } from '../../programs/testing/processFleet.ts';
import { openCountedStream } from './_streams.ts';
import type { CountedStream, StreamTarget } from './_streams.ts';

/** Time to the first token, in milliseconds. */
export type FirstTokenTimes = { readonly p50: number; readonly p95: number };

/** A target and whether the measured value meets it. */
export type PathTarget = {
  readonly name: string;
  readonly target: number;
  readonly measured: number;
  readonly met: boolean;
};

/** The results of the path benchmark. */
export type PathRecord = {
  readonly note: string;
  readonly streamsOpen: number;
  readonly firstTokenMs: { readonly engine: FirstTokenTimes; readonly entry: FirstTokenTimes };
  readonly tokensPerSecond: { readonly engine: number; readonly entry: number };
  readonly requestsPerSecond: { readonly engine: number; readonly entry: number };
  readonly bytesPerStream: { readonly entry: number; readonly sidecar: number };
  /** Growth of resident memory over one round of opening and closing all streams. */
  readonly bytesAfterClosing: { readonly entry: number; readonly sidecar: number };
  readonly targets: readonly PathTarget[];
};

const BACKGROUND_STREAMS = 500;
const MEMORY_STREAMS = 1000;
const WARM_UP_ROUNDS = 3;
const LONG_STREAM_TOKENS = 32_768;
const PROBES = 600;
const PROBE_CONCURRENCY = 6;
const THROUGHPUT_STREAMS = 200;
const THROUGHPUT_MS = 4000;
const REQUEST_CONCURRENCY = 64;
const SETTLE_MS = 1500;
const PAGE_BYTES = 4096;
const MAX_ADDED_FIRST_TOKEN_MS = 2;
const MIN_TOKENS_PER_SECOND = 40_000;
const MAX_BYTES_PER_STREAM = 20_000;
const MAX_GROWTH_BYTES = 1_000_000;

const MODERATE_ENGINE_SETTINGS = 'batch_width = 10000\nstep_time = 50ms\nsequence_microseconds = 0';
const FAST_ENGINE_SETTINGS = 'batch_width = 10000\nstep_time = 1ms\nsequence_microseconds = 0';

type Targets = { readonly engine: StreamTarget; readonly entry: StreamTarget };

function createTargets(fleet: ProcessFleet): Targets {
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
    const targets = createTargets(fleet);
    await (
      await openCountedStream(targets.entry, 1)
    ).tokens;
    return await run(fleet, targets);
  } finally {
    await fleet.stop();
  }
}

function openStreams(target: StreamTarget, count: number): Promise<readonly CountedStream[]> {
  return Promise.all(
    Array.from({ length: count }, () => openCountedStream(target, LONG_STREAM_TOKENS)),
  );
}

async function closeStreams(streams: readonly CountedStream[]): Promise<void> {
  streams.forEach((stream) => stream.close());
  await Promise.all(streams.map((stream) => stream.tokens));
  await sleep(SETTLE_MS);
}

async function measureFirstToken(target: StreamTarget): Promise<FirstTokenTimes> {
  const background = await openStreams(target, BACKGROUND_STREAMS);
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  let remaining = PROBES;
  const probeRepeatedly = async (): Promise<void> => {
    while (remaining > 0) {
      remaining -= 1;
      const stream = await openCountedStream(target, 1);
      histogram.recordValue(Math.round(stream.firstTokenMs * 1000));
      await stream.tokens;
    }
  };
  await Promise.all(Array.from({ length: PROBE_CONCURRENCY }, probeRepeatedly));
  await closeStreams(background);
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1000;
  return { p50: at(50), p95: at(95) };
}

async function measureTokenRate(target: StreamTarget): Promise<number> {
  let tokens = 0;
  const streams = await Promise.all(
    Array.from({ length: THROUGHPUT_STREAMS }, () =>
      openCountedStream(target, LONG_STREAM_TOKENS, (count) => {
        tokens += count;
      }),
    ),
  );
  tokens = 0;
  const startedAt = performance.now();
  await sleep(THROUGHPUT_MS);
  const rate = (tokens * 1000) / (performance.now() - startedAt);
  await closeStreams(streams);
  return Math.round(rate);
}

async function measureRequestRate(target: StreamTarget): Promise<number> {
  const startedAt = performance.now();
  let requests = 0;
  const sendRepeatedly = async (): Promise<void> => {
    while (performance.now() - startedAt < THROUGHPUT_MS) {
      await (
        await openCountedStream(target, 1)
      ).tokens;
      requests += 1;
    }
  };
  await Promise.all(Array.from({ length: REQUEST_CONCURRENCY }, sendRepeatedly));
  return Math.round((requests * 1000) / (performance.now() - startedAt));
}

function residentBytes(pid: number): number {
  return Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]) * PAGE_BYTES;
}

type ResidentMemory = { readonly entry: number; readonly sidecar: number };

function readMemory(fleet: ProcessFleet): ResidentMemory {
  const sidecar = fleet.sidecars.get('engine-1');
  return { entry: residentBytes(fleet.entry.pid), sidecar: residentBytes(sidecar?.pid ?? 0) };
}

function memoryGrowth(from: ResidentMemory, to: ResidentMemory, per: number): ResidentMemory {
  return {
    entry: Math.round((to.entry - from.entry) / per),
    sidecar: Math.round((to.sidecar - from.sidecar) / per),
  };
}

async function measureMemory(
  fleet: ProcessFleet,
  target: StreamTarget,
): Promise<Pick<PathRecord, 'bytesPerStream' | 'bytesAfterClosing'>> {
  const before = readMemory(fleet);
  const first = await openStreams(target, MEMORY_STREAMS);
  const bytesPerStream = memoryGrowth(before, readMemory(fleet), MEMORY_STREAMS);
  await closeStreams(first);
  for (let round = 1; round < WARM_UP_ROUNDS; round += 1) {
    await closeStreams(await openStreams(target, MEMORY_STREAMS));
  }
  const warm = readMemory(fleet);
  await closeStreams(await openStreams(target, MEMORY_STREAMS));
  return { bytesPerStream, bytesAfterClosing: memoryGrowth(warm, readMemory(fleet), 1) };
}

function atMost(name: string, target: number, measured: number): PathTarget {
  return { name, target, measured, met: measured <= target };
}

function atLeast(name: string, target: number, measured: number): PathTarget {
  return { name, target, measured, met: measured >= target };
}

/**
 * Measures the path through one entry process and one sidecar process against direct requests to
 * the engine stand-in.
 *
 * @param note Remark to record with the results, such as other load on the machine.
 * @param onProgress Called with a description as each part starts.
 */
export async function runPathBench(
  note: string,
  onProgress: (text: string) => void,
): Promise<PathRecord> {
  onProgress('time to the first token, and memory');
  const moderate = await withFleet(MODERATE_ENGINE_SETTINGS, async (fleet, { engine, entry }) => {
    const memory = await measureMemory(fleet, entry);
    return {
      memory,
      firstTokenMs: {
        engine: await measureFirstToken(engine),
        entry: await measureFirstToken(entry),
      },
    };
  });
  onProgress('tokens and requests a second');
  const fast = await withFleet(FAST_ENGINE_SETTINGS, async (_fleet, { engine, entry }) => ({
    tokensPerSecond: {
      engine: await measureTokenRate(engine),
      entry: await measureTokenRate(entry),
    },
    requestsPerSecond: {
      engine: await measureRequestRate(engine),
      entry: await measureRequestRate(entry),
    },
  }));
  const { memory, firstTokenMs } = moderate;
  const added = Math.round((firstTokenMs.entry.p95 - firstTokenMs.engine.p95) * 1000) / 1000;
  const { bytesPerStream, bytesAfterClosing } = memory;
  return {
    note,
    streamsOpen: BACKGROUND_STREAMS,
    firstTokenMs,
    ...fast,
    ...memory,
    targets: [
      atMost('first token added at p95, ms', MAX_ADDED_FIRST_TOKEN_MS, added),
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
