import { expect } from 'chai';
import fc from 'fast-check';
import { decodeEntryMessage, decodeKeeperMessage, encodeMessage } from './mod.ts';
import type { EntryMessage, KeeperMessage } from './mod.ts';

const HELLO: EntryMessage = {
  kind: 'hello',
  entry: 'e1',
  engine: {
    batchWidth: 8,
    adapterPlaces: 3,
    weightsMb: 2000,
    loadsPerSecond: 4,
    models: [{ name: 'm', weightsMb: 1000, adapterMb: 10 }],
  },
  serverId: 'i-1',
  bornAt: 1000,
  fencingToken: 7,
};

const STATE: KeeperMessage = {
  kind: 'state',
  holdings: [{ name: 'm/a1', version: 2 }],
  running: 3,
  queued: 0,
  freeablePlaces: 1,
  awaited: 0,
  fencingToken: 7,
};

describe('messages of keepers and entries', () => {
  it('come back as they were sent', () => {
    const messages: readonly EntryMessage[] = [
      HELLO,
      { kind: 'want', name: 'm/a1', version: 2, waitMs: 300 },
      { kind: 'use', name: 'm/a1', count: 0 },
    ];
    messages.forEach((message) => {
      expect(decodeEntryMessage(encodeMessage(message))).to.deep.equal(message);
    });
    expect(decodeKeeperMessage(encodeMessage(STATE))).to.deep.equal(STATE);
  });

  it('are nothing when a field is missing, of another type or below 0, or sent the other way', () => {
    const { engine, ...rest } = HELLO;
    expect(engine.adapterPlaces).to.equal(3);
    const wrong: readonly unknown[] = [
      rest,
      { ...HELLO, bornAt: '1000' },
      { ...HELLO, kind: 'hullo' },
      { kind: 'use', name: 'm/a1', count: -1 },
      STATE,
    ];
    wrong.forEach((message) => {
      expect(decodeEntryMessage(encodeMessage(message as EntryMessage))).to.equal(undefined);
    });
    expect(decodeKeeperMessage(encodeMessage(HELLO))).to.equal(undefined);
  });

  it('are nothing when the bytes are of no message, whatever they are', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        expect(decodeEntryMessage(bytes)).to.equal(undefined);
        expect(decodeKeeperMessage(bytes)).to.equal(undefined);
      }),
      { seed: 20261204, numRuns: 500 },
    );
  });
});
