import { expect } from 'chai';
import fc from 'fast-check';
import { positionOf, RecordMirror } from './mod.ts';
import type { MirroredRecord } from './mod.ts';

const VALUE = new Uint8Array([1]);

function record(key: string, revision: number): MirroredRecord {
  return { key, value: VALUE, revision };
}

function mirrorOf(asOf: number, ...records: readonly MirroredRecord[]): RecordMirror {
  const mirror = new RecordMirror();
  mirror.apply({ since: undefined, records, asOf });
  return mirror;
}

describe('RecordMirror', () => {
  it('ignores an update that is not newer', () => {
    const mirror = mirrorOf(10, record('a', 9));
    expect(mirror.apply({ since: undefined, records: [], asOf: 10 })).to.equal(undefined);
    expect(mirror.apply({ since: 3, records: [], asOf: 8 })).to.equal(undefined);
    expect(mirror.records).to.have.length(1);
  });

  it('ignores changes when earlier ones are missing', () => {
    const mirror = mirrorOf(10, record('a', 9));
    expect(mirror.apply({ since: 12, records: [record('b', 13)], asOf: 13 })).to.equal(undefined);
    expect(mirror.asOf).to.equal(10);
  });

  // Guards against decoding each of many versions of a large record that come together.
  it('reports a record that changed several times once, as it is now', () => {
    const mirror = mirrorOf(10, record('a', 9));
    const records = [record('a', 11), record('b', 12), record('a', 13)];
    const changed = mirror.apply({ since: 10, records, asOf: 13 });
    expect(changed).to.have.deep.members([record('a', 13), record('b', 12)]);
  });

  it('reports records that are missing from a newer snapshot as removed', () => {
    const mirror = mirrorOf(10, record('a', 9), record('b', 5));
    const changed = mirror.apply({ since: undefined, records: [record('b', 5)], asOf: 20 });
    expect(changed).to.deep.equal([{ key: 'a', revision: 20 }]);
  });

  it('returns a snapshot for a mirror that is too far behind', () => {
    const mirror = mirrorOf(10, record('a', 9));
    mirror.apply({ since: 10, records: [record('b', 11)], asOf: 11 });
    expect(mirror.updateSince(4)?.since).to.equal(undefined);
    expect(mirror.updateSince(10)?.records.map(({ key }) => key)).to.deep.equal(['b']);
    expect(mirror.updateSince(11)).to.equal(undefined);
  });

  it('takes only a full snapshot over to a later era, since changes would miss what the store has lost', () => {
    const mirror = mirrorOf(10, record('a', 9), record('b', 5));
    const asOf = positionOf(1, 7);
    const newer = record('b', positionOf(1, 6));
    expect(mirror.apply({ since: 10, records: [newer], asOf })).to.equal(undefined);
    mirror.apply({ since: undefined, records: [newer], asOf });
    expect(mirror.records).to.deep.equal([newer]);
    expect(mirror.updateSince(10)?.since).to.equal(undefined);
  });

  it('ignores what peers tell of an earlier era, also at a higher revision', () => {
    const mirror = mirrorOf(positionOf(1, 7), record('b', positionOf(1, 6)));
    expect(mirror.apply({ since: undefined, records: [record('a', 9)], asOf: 10 })).to.equal(
      undefined,
    );
    expect(mirror.asOf).to.equal(positionOf(1, 7));
  });

  it('converges to the store, whichever mirror updates another and in whatever order', () => {
    const change = fc.record({ key: fc.constantFrom('a', 'b', 'c'), isRemoval: fc.boolean() });
    const sync = fc.tuple(fc.nat(2), fc.nat(2), fc.nat(3));
    fc.assert(
      fc.property(fc.array(change, { maxLength: 30 }), fc.array(sync), (changes, syncs) => {
        const store = mirrorOf(1);
        const mirrors = [new RecordMirror(), new RecordMirror(), new RecordMirror()];
        let revision = 1;
        changes.forEach(({ key, isRemoval }, index) => {
          revision += 1;
          const value = isRemoval ? {} : { value: VALUE };
          store.apply({
            since: revision - 1,
            records: [{ key, revision, ...value }],
            asOf: revision,
          });
          const [from = 0, to = 0, fromStore = 0] = syncs[index] ?? [];
          const source = fromStore === 0 ? store : mirrors[from]!;
          const update = source.updateSince(mirrors[to]!.asOf);
          const before = mirrors[to]!.asOf ?? 0;
          if (update !== undefined) mirrors[to]!.apply(update);
          expect(mirrors[to]!.asOf ?? 0).to.be.at.least(before);
        });
        mirrors.forEach((mirror) => {
          const update = store.updateSince(mirror.asOf);
          if (update !== undefined) mirror.apply(update);
          const keys = (target: RecordMirror): readonly string[] =>
            target.records.map((each) => `${each.key}@${each.revision}`).sort();
          expect(keys(mirror)).to.deep.equal(keys(store));
        });
      }),
      { seed: 3, numRuns: 300 },
    );
  });
});
