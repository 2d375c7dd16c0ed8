import { expect } from 'chai';
import fc from 'fast-check';
import { Packr } from 'msgpackr';
import type { Envelope, EntryFrame, SetFrame, SidecarFrame } from '../core/link/mod.ts';
import { decodeEnvelope, encodeEnvelope } from './_codec.ts';

/** Fixed, so that a failure can be replayed with the path that fast-check prints. */
const SEED = 20261203;

const RUN_OPTIONS = { seed: SEED, numRuns: 2000 };

const SET = { generation: 1, digest: 'd' };

const REPORT = {
  running: 1,
  waiting: 0,
  batchWidth: 4,
  resident: ['t/a@1'],
  leaving: false,
  backendServer: 'e1',
};

const SET_FRAMES: readonly SetFrame[] = [
  { kind: 'set-read', name: 'head' },
  { kind: 'set-conflict', generation: 1, digests: ['a', 'b'] },
  { kind: 'set-value', name: 'head', text: 'text' },
  { kind: 'set-value', name: 'head', text: null },
];

const ENTRY_FRAMES: readonly EntryFrame[] = [
  ...SET_FRAMES,
  {
    kind: 'hello',
    version: 1,
    identity: { role: 'entry', host: 'e', incarnation: 'i' },
    target: 's',
    epoch: 1,
    nonce: 'n',
  },
  { kind: 'proof', proof: 'p', resume: [{ exchange: 'x', nextEvent: 2 }], set: SET },
  {
    kind: 'submit',
    exchange: 'x',
    generation: 1,
    budgetMs: -5,
    echo: 1,
    sinceEchoMs: 2,
    call: {
      kind: 'completion',
      adapterVersion: 't/a@1',
      tenant: 't',
      prompt: 'draft',
      maxTokens: 8,
      priority: -1,
    },
  },
  {
    kind: 'submit',
    exchange: 'x',
    generation: 1,
    budgetMs: 5,
    echo: 1,
    sinceEchoMs: 2,
    call: {
      kind: 'service-call',
      service: 't/s',
      tenant: 't',
      key: 'k',
      body: 'b',
      mayBegin: true,
    },
  },
  { kind: 'acknowledge', exchange: 'x', nextEvent: 3 },
  { kind: 'cancel', exchange: 'x' },
  {
    kind: 'heartbeat',
    set: SET,
    demand: [{ tenant: 't', requestsPerSecond: 1.5, requestsInFlight: 0 }],
  },
];

const SIDECAR_FRAMES: readonly SidecarFrame[] = [
  ...SET_FRAMES,
  {
    kind: 'welcome',
    version: 1,
    identity: { role: 'sidecar', host: 's', incarnation: 'i' },
    nonce: 'n',
    proof: 'p',
  },
  { kind: 'ready', unseen: ['x'], stamp: 1, set: SET, report: REPORT },
  {
    kind: 'event',
    exchange: 'x',
    number: 0,
    event: { kind: 'started', servedBy: 't/a@1', loadStallMs: 1, queuedMs: 2 },
  },
  { kind: 'event', exchange: 'x', number: 1, event: { kind: 'chunk', text: 'a', tokens: 1 } },
  {
    kind: 'event',
    exchange: 'x',
    number: 2,
    event: { kind: 'final', outcome: { kind: 'done' }, tokens: 1, digest: 'd', body: '' },
  },
  { kind: 'heartbeat', stamp: 1, set: SET, report: REPORT },
  { kind: 'refused', reason: 'no' },
];

const FRAMES = [
  ...ENTRY_FRAMES.map((frame) => ({ sender: 'entry' as const, frame })),
  ...SIDECAR_FRAMES.map((frame) => ({ sender: 'sidecar' as const, frame })),
];

/** Returns the paths of all fields of a frame, at any depth. */
function pathsOf(value: unknown, path: readonly string[] = []): readonly (readonly string[])[] {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return [path];
  const inner = Object.entries(value).flatMap(([key, each]) => pathsOf(each, [...path, key]));
  return path.length === 0 ? inner : [path, ...inner];
}

function replaceField(value: unknown, [key, ...rest]: readonly string[], wrong: unknown): unknown {
  if (key === undefined) return wrong;
  const fields = value as Record<string, unknown>;
  return { ...fields, [key]: replaceField(fields[key], rest, wrong) };
}

function decode(frame: unknown, sender: 'entry' | 'sidecar'): unknown {
  return decodeEnvelope(encodeEnvelope({ sequence: 0, frame } as Envelope), sender);
}

describe('decodeEnvelope', () => {
  it('decodes every kind of frame unchanged, and only from the side that sends it', () => {
    for (const { sender, frame } of FRAMES) {
      expect(decode(frame, sender)).to.deep.equal({ sequence: 0, frame });
      if (frame.kind !== 'heartbeat' && !SET_FRAMES.some((each) => each === frame)) {
        const other = sender === 'entry' ? 'sidecar' : 'entry';
        expect(decode(frame, other), frame.kind).to.equal(undefined);
      }
    }
  });

  it('rejects a frame in which any one field has the wrong type', () => {
    for (const { sender, frame } of FRAMES) {
      for (const path of pathsOf(frame)) {
        const wrong = decode(replaceField(frame, path, { not: 'this' }), sender);
        expect(wrong, `${frame.kind} ${path.join('.')}`).to.equal(undefined);
      }
    }
  });

  it('rejects names and lists that are too long', () => {
    const long = 'x'.repeat(2000);
    expect(decode({ kind: 'cancel', exchange: long }, 'entry')).to.equal(undefined);
    const resume = Array(200_000).fill({ exchange: 'x', nextEvent: 0 });
    expect(decode({ kind: 'proof', proof: 'p', resume, set: SET }, 'entry')).to.equal(undefined);
  });

  it('returns a frame or undefined for any bytes, and never throws', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        const envelope = decodeEnvelope(bytes, 'entry');
        if (envelope !== undefined) expect(envelope.frame.kind).to.be.a('string');
      }),
      RUN_OPTIONS,
    );
  });

  it('returns a valid frame or undefined for corrupted frames', () => {
    const packr = new Packr({ useRecords: false, variableMapSize: true });
    const damage = fc.record({
      frame: fc.constantFrom(...FRAMES),
      at: fc.nat(400),
      byte: fc.nat(255),
      cut: fc.nat(3),
    });
    fc.assert(
      fc.property(damage, ({ frame: { frame, sender }, at, byte, cut }) => {
        const bytes = Uint8Array.from(packr.pack({ sequence: 0, frame }));
        bytes[at % bytes.length] = byte;
        const decoded = decodeEnvelope(bytes.subarray(0, bytes.length - cut), sender);
        if (decoded === undefined) return;
        expect(decodeEnvelope(encodeEnvelope(decoded), sender)).to.deep.equal(decoded);
      }),
      RUN_OPTIONS,
    );
  });
});
