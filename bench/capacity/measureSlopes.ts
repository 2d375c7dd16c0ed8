import { createHash } from 'node:crypto';
import { KeyLedger } from '../../core/idempotency/mod.ts';
import { RouteTable } from '../../core/placement/mod.ts';
import {
  applyDifference,
  buildSet,
  computeDifference,
  differenceName,
  formatDifference,
  HEAD_NAME,
  packParts,
  indexSet,
  manifestName,
  OBJECT_KINDS,
  packSet,
  parseDifference,
  resolveModel,
} from '../../core/set/mod.ts';
import type { SetObject } from '../../core/set/mod.ts';
import { encodeEnvelope } from '../../tasks/_codec.ts';
import { createOpenRequest } from '../../tasks/entry/_openRequest.ts';
import { fitLine } from './fitLine.ts';
import type { Slope } from './fitLine.ts';
import { LinkPair } from './_linkPair.ts';
import {
  measureCounts,
  measureProcessorTime,
  measureMemory,
  measureMedianProcessorTime,
} from './_meters.ts';
import { createSampleSet } from './sampleSet.ts';

const SET_STAMP = { generation: 1, digest: 'd'.repeat(64) };

const RESIDENT_ADAPTERS = 8;

const ADAPTER_COUNTS = [10_000, 20_000, 40_000] as const;

const IDLE_SECONDS = 60;

const CHANGE_REPEATS = 50;

const CHUNK = { kind: 'chunk', text: ' legajo', tokens: 1 } as const;

/** The names of the measured slopes. */
export type SlopeName =
  | 'state.adapter'
  | 'state.backend-server'
  | 'state.link'
  | 'state.stream'
  | 'state.key'
  | 'bytes.idle-link'
  | 'messages.idle-link'
  | 'bytes.whole-set'
  | 'bytes.manifest'
  | 'bytes.change'
  | 'bytes.listed-host'
  | 'bytes.chunk'
  | 'time.change'
  | 'time.heartbeat'
  | 'time.submit'
  | 'time.chunk'
  | 'time.candidate'
  | 'time.resolve';

function createKeyLedger(count: number): KeyLedger {
  let nonces = 0;
  const ledger = new KeyLedger({
    host: 'loans',
    incarnation: 'incarnation-sidecar-0',
    secret: 's'.repeat(40),
    nonce: () => {
      nonces += 1;
      return createHash('sha256').update(String(nonces)).digest('hex').slice(0, 21);
    },
  });
  for (let index = 0; index < count; index += 1) {
    const minted = ledger.mint('t', 0);
    ledger.begin({ tenant: 't', key: minted }, `digest-${index}`, 0);
  }
  return ledger;
}

function createStreams(count: number): unknown {
  const pair = new LinkPair(RESIDENT_ADAPTERS);
  const requests = new Map<string, unknown>();
  for (let index = 0; index < count; index += 1) {
    const name = `exchange-${index}`;
    pair.submit(name);
    requests.set(
      name,
      createOpenRequest({
        submission: {
          requestId: name,
          tokenSha256: 't'.repeat(64),
          request: {
            kind: 'completion',
            model: 'house-1/draft',
            prompt: `${index}`.padEnd(400, 'x'),
            maxTokens: 256,
            priority: 0,
          },
          timeoutMs: 60_000,
          onEvent: () => undefined,
        },
        tenant: 'house-1',
        call: { kind: 'mint-key', service: 's', tenant: 't' },
        destination: { kind: 'pool', pool: 'pool-1', adapterVersion: 'house-1/finding-aid-1@2' },
        generation: 1,
        startedAt: 0,
        deadline: 60_000,
      }),
    );
  }
  return { pair, requests };
}

function measureMemorySlopes(): readonly Slope[] {
  return [
    measureMemory('state.adapter', 'adapter', ADAPTER_COUNTS, (count) =>
      indexSet(createSampleSet(count), SET_STAMP),
    ),
    measureMemory(
      'state.backend-server',
      'backend server in a sidecar',
      [3000, 6000, 12_000],
      (count) => buildSet(packParts(createSampleSet(0, count)), 1),
    ),
    measureMemory('state.link', 'link, both ends', [100, 200, 400], (count) =>
      Array.from({ length: count }, () => new LinkPair(RESIDENT_ADAPTERS)),
    ),
    measureMemory('state.stream', 'open stream, both ends', [500, 1000, 2000], createStreams),
    measureMemory('state.key', 'remembered key', [5000, 10_000, 20_000], createKeyLedger),
  ];
}

function countIdleTraffic(links: number): { readonly bytes: number; readonly messages: number } {
  const pairs = Array.from({ length: links }, () => new LinkPair(RESIDENT_ADAPTERS));
  for (let step = 0; step < IDLE_SECONDS * 20; step += 1) pairs.forEach((pair) => pair.advance(50));
  const bytes = pairs.reduce((sum, pair) => sum + pair.bytes, 0);
  const messages = pairs.reduce((sum, pair) => sum + pair.messages, 0);
  return { bytes: bytes / IDLE_SECONDS, messages: messages / IDLE_SECONDS };
}

function countChunkBytes(count: number): number {
  const pair = new LinkPair(RESIDENT_ADAPTERS);
  pair.submit('incarnation-entry-012-1234');
  pair.bytes = 0;
  for (let index = 0; index < count; index += 1) {
    pair.emit('incarnation-entry-012-1234', CHUNK);
  }
  return pair.bytes;
}

/** Counts the bytes of reading a number of single changes from a peer. */
function countChangeBytes(changes: number): number {
  const objects = createSampleSet(ADAPTER_COUNTS[0]);
  const before = packParts(objects);
  const adapters = objects.filter(({ kind }) => kind === 'adapter');
  let bytes = 0;
  for (const changed of adapters.slice(0, changes)) {
    const after = objects.map((object) =>
      object === changed && object.kind === 'adapter'
        ? { ...object, versions: ['1', '2', '3'] }
        : object,
    );
    const { head, values } = packSet(after, 27_000, before);
    const name = differenceName(before.digest);
    const { text } = values.find((value) => value.name === name)!;
    const frames = [
      { kind: 'set-read', name: HEAD_NAME },
      { kind: 'set-value', name: HEAD_NAME, text: JSON.stringify(head) },
      { kind: 'set-read', name },
      { kind: 'set-value', name, text },
    ] as const;
    for (const frame of frames) bytes += encodeEnvelope({ sequence: 1000, frame }).length;
  }
  return bytes;
}

function measureTrafficSlopes(): readonly Slope[] {
  const links = [5, 10, 20, 40];
  const sizes = ADAPTER_COUNTS.map((adapters) => {
    const { setParts, values } = packSet(createSampleSet(adapters), 1);
    const manifest = values.find(({ name }) => name === manifestName(setParts.digest))!;
    const parts = [...setParts.texts.values()];
    const all = parts.reduce((sum, text) => sum + text.length, 0);
    return { adapters, manifest: manifest.text.length, whole: all };
  });
  const sizeAt = (adapters: number): (typeof sizes)[number] =>
    sizes.find((each) => each.adapters === adapters)!;
  const host = {
    host: 'engine-01234',
    role: 'sidecar',
    address: '10.123.123.123:8610',
    availabilityZone: 'region-1-az-1',
    state: 'live',
  };
  return [
    measureCounts(
      { name: 'bytes.idle-link', unit: 'byte/s', per: 'idle link, both ways' },
      links,
      (count) => countIdleTraffic(count).bytes,
    ),
    measureCounts(
      { name: 'messages.idle-link', unit: 'message/s', per: 'idle link, both ways' },
      links,
      (count) => countIdleTraffic(count).messages,
    ),
    measureCounts(
      { name: 'bytes.whole-set', unit: 'byte', per: 'adapter, all parts of the set' },
      ADAPTER_COUNTS,
      (adapters) => sizeAt(adapters).whole,
    ),
    measureCounts(
      { name: 'bytes.manifest', unit: 'byte', per: 'adapter, in the manifest of the set' },
      ADAPTER_COUNTS,
      (adapters) => sizeAt(adapters).manifest,
    ),
    measureCounts(
      { name: 'bytes.change', unit: 'byte', per: 'change read over a link, all four frames' },
      [10, 20, 40],
      countChangeBytes,
    ),
    measureCounts(
      { name: 'bytes.chunk', unit: 'byte', per: 'chunk with its acknowledgement' },
      [160, 320, 640],
      countChunkBytes,
    ),
    measureCounts(
      { name: 'bytes.listed-host', unit: 'byte', per: 'host in the host list' },
      [100, 200, 400],
      (count) => JSON.stringify(Array.from({ length: count }, () => host)).length,
    ),
  ];
}

/** Adds a version to one adapter of a set. */
function changeOneAdapter(objects: readonly SetObject[]): readonly SetObject[] {
  return objects.map((object) =>
    object.kind === 'adapter' && object.name.endsWith('-777')
      ? { ...object, versions: ['1', '2', '3'] }
      : object,
  );
}

/** Measures the time to apply one change to a set, by the number of adapters. */
function measureChangeTime(): Slope {
  const points = ADAPTER_COUNTS.map((x) => {
    const before = packParts(createSampleSet(x));
    const after = packParts(changeOneAdapter(createSampleSet(x)));
    const text = formatDifference(computeDifference(before, after)!);
    const built = { setParts: before, set: buildSet(before, 1) };
    const y = measureMedianProcessorTime(() => {
      for (let run = 0; run < CHANGE_REPEATS; run += 1) {
        const next = applyDifference(before, parseDifference(text)!, new Set(OBJECT_KINDS));
        buildSet(next!, 2, built);
      }
    });
    return { x, y: y / CHANGE_REPEATS };
  });
  return fitLine(
    { name: 'time.change', unit: 'microsecond', per: 'adapter, for each change taken' },
    points,
  );
}

/** Number of servers in the measured routing decisions. */
const ROUTED_SERVERS = 64;

/** Creates a route table in which each server holds one adapter version. */
function createRouteTable(): RouteTable {
  const routes = new RouteTable({ policy: 'load-stalls' });
  for (let index = 0; index < ROUTED_SERVERS; index += 1) {
    const host = `engine-${index}`;
    routes.add(host, 1);
    routes.applyReport({
      host,
      running: index % 16,
      waiting: 0,
      batchWidth: 16,
      resident: [`house-${index % 40}/finding-aid-${index}@2`],
      wanted: [],
      freeSlots: 1,
      displacedUses: 0,
    });
  }
  return routes;
}

function measureTimeSlopes(): readonly Slope[] {
  const set = indexSet(createSampleSet(10_000), SET_STAMP);
  const pair = new LinkPair(RESIDENT_ADAPTERS);
  const streams = new LinkPair(RESIDENT_ADAPTERS);
  streams.submit('stream');
  const routes = createRouteTable();
  const submits = new LinkPair(RESIDENT_ADAPTERS);
  return [
    measureChangeTime(),
    measureProcessorTime(
      'time.heartbeat',
      'heartbeat interval of a link, both ends',
      () => pair.advance(250),
      [2000, 4000, 8000, 16_000],
    ),
    measureProcessorTime('time.submit', 'submit, both ends', (index) =>
      submits.submit(`exchange-${index}-${submits.messages}`),
    ),
    measureProcessorTime('time.chunk', 'chunk, both ends', () => streams.emit('stream', CHUNK)),
    measureProcessorTime(
      'time.candidate',
      'candidate in a routing decision',
      (index) => routes.choose(`house-${index % 40}/finding-aid-${index}@2`, () => true),
      [1000, 2000, 4000, 8000],
      ROUTED_SERVERS,
    ),
    measureProcessorTime('time.resolve', 'name resolved', (index) =>
      resolveModel(
        set,
        `house-${index % 40}/finding-aid-${index % 10_000}@2`,
        `house-${index % 40}`,
      ),
    ),
  ];
}

/** Measures every slope on this machine. */
export function measureSlopes(): readonly Slope[] {
  return [...measureMemorySlopes(), ...measureTrafficSlopes(), ...measureTimeSlopes()];
}
