import { createHash } from 'node:crypto';
import { KeyLedger } from '../../core/idempotency/mod.ts';
import { chooseBackendServer } from '../../core/placement/mod.ts';
import { HEAD_NAME, indexSet, packSet, resolveModel, unpackSet } from '../../core/set/mod.ts';
import { openRequest } from '../../tasks/entry/_openRequest.ts';
import { fitLine } from './fitLine.ts';
import type { Slope } from './fitLine.ts';
import { LinkPair } from './_linkPair.ts';
import {
  measureCounts,
  measureProcessorTime,
  measureState,
  medianProcessorTime,
} from './_meters.ts';
import { sampleSet } from './sampleSet.ts';

const STAMP = { generation: 1, digest: 'd'.repeat(64) };

const RESIDENT = 8;

const ADAPTERS = [10_000, 20_000, 40_000] as const;

const SECONDS = 60;

const CHUNK = { kind: 'chunk', text: ' legajo', tokens: 1 } as const;

/** The names of all slopes. */
export type SlopeName =
  | 'state.adapter'
  | 'state.link'
  | 'state.stream'
  | 'state.key'
  | 'bytes.idle-link'
  | 'messages.idle-link'
  | 'bytes.part'
  | 'bytes.head'
  | 'bytes.listed-host'
  | 'bytes.chunk'
  | 'time.index'
  | 'time.heartbeat'
  | 'time.submit'
  | 'time.chunk'
  | 'time.candidate'
  | 'time.resolve';

function fillLedger(count: number): KeyLedger {
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

function fillStreams(count: number): unknown {
  const pair = new LinkPair(RESIDENT);
  const requests = new Map<string, unknown>();
  for (let index = 0; index < count; index += 1) {
    const name = `exchange-${index}`;
    pair.submit(name);
    requests.set(
      name,
      openRequest({
        submission: {
          name,
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

function measureStates(): readonly Slope[] {
  return [
    measureState('state.adapter', 'adapter', ADAPTERS, (count) =>
      indexSet(sampleSet(count), STAMP),
    ),
    measureState('state.link', 'link, both ends', [100, 200, 400], (count) =>
      Array.from({ length: count }, () => new LinkPair(RESIDENT)),
    ),
    measureState('state.stream', 'open stream, both ends', [500, 1000, 2000], fillStreams),
    measureState('state.key', 'remembered key', [5000, 10_000, 20_000], fillLedger),
  ];
}

function runIdle(links: number): { readonly bytes: number; readonly messages: number } {
  const pairs = Array.from({ length: links }, () => new LinkPair(RESIDENT));
  for (let step = 0; step < SECONDS * 20; step += 1) pairs.forEach((pair) => pair.advance(50));
  const bytes = pairs.reduce((sum, pair) => sum + pair.bytes, 0);
  const messages = pairs.reduce((sum, pair) => sum + pair.messages, 0);
  return { bytes: bytes / SECONDS, messages: messages / SECONDS };
}

function chunkBytes(count: number): number {
  const pair = new LinkPair(RESIDENT);
  pair.submit('incarnation-entry-012-1234');
  pair.bytes = 0;
  for (let index = 0; index < count; index += 1) {
    pair.emit('incarnation-entry-012-1234', CHUNK);
  }
  return pair.bytes;
}

function measureTraffic(): readonly Slope[] {
  const links = [5, 10, 20, 40];
  const sizes = ADAPTERS.map((adapters) => {
    const { values } = packSet(sampleSet(adapters), 1);
    const head = values.find(({ name }) => name === HEAD_NAME)!.text.length;
    const all = values.reduce((sum, { text }) => sum + text.length, 0);
    return { adapters, head, part: (all - head) / (values.length - 1) };
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
      (count) => runIdle(count).bytes,
    ),
    measureCounts(
      { name: 'messages.idle-link', unit: 'message/s', per: 'idle link, both ways' },
      links,
      (count) => runIdle(count).messages,
    ),
    measureCounts(
      { name: 'bytes.part', unit: 'byte', per: 'adapter, in one part of the set' },
      ADAPTERS,
      (adapters) => sizeAt(adapters).part,
    ),
    measureCounts(
      { name: 'bytes.head', unit: 'byte', per: 'adapter, in the head of the set' },
      ADAPTERS,
      (adapters) => sizeAt(adapters).head,
    ),
    measureCounts(
      { name: 'bytes.chunk', unit: 'byte', per: 'chunk with its acknowledgement' },
      [160, 320, 640],
      chunkBytes,
    ),
    measureCounts(
      { name: 'bytes.listed-host', unit: 'byte', per: 'host in the host list' },
      [100, 200, 400],
      (count) => JSON.stringify(Array.from({ length: count }, () => host)).length,
    ),
  ];
}

/** Measures the time to take a set of some size, read whole. */
function measureIndexTime(): Slope {
  const points = ADAPTERS.map((x) => {
    const { head, values } = packSet(sampleSet(x), 1);
    const parts = new Map(values.map(({ name, text }) => [name.replace('parts/', ''), text]));
    return { x, y: medianProcessorTime(() => unpackSet(head, parts)) };
  });
  return fitLine({ name: 'time.index', unit: 'microsecond', per: 'adapter, set taken' }, points);
}

function measureTimes(): readonly Slope[] {
  const set = indexSet(sampleSet(10_000), STAMP);
  const pair = new LinkPair(RESIDENT);
  const streams = new LinkPair(RESIDENT);
  streams.submit('stream');
  const candidates = Array.from({ length: 64 }, (_, index) => ({
    host: `engine-${index}`,
    running: index % 16,
    waiting: 0,
    batchWidth: 16,
    isResident: index % 7 === 0,
  }));
  const submits = new LinkPair(RESIDENT);
  return [
    measureIndexTime(),
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
      (index) => chooseBackendServer(`house-${index % 40}/finding-aid-${index}@2`, candidates),
      [1000, 2000, 4000, 8000],
      candidates.length,
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
  return [...measureStates(), ...measureTraffic(), ...measureTimes()];
}
