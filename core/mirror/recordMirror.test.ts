import { expect } from 'chai';
import fc from 'fast-check';
import { RecordMirror } from './mod.ts';
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
  it('takes nothing that is not newer', () => {
    const mirror = mirrorOf(10, record('a', 9));
    expect(mirror.apply({ since: undefined, records: [], asOf: 10 })).to.equal(undefined);
    expect(mirror.apply({ since: 3, records: [], asOf: 8 })).to.equal(undefined);
    expect(mirror.records).to.have.length(1);
  });

  it('takes no changes when earlier ones are missing', () => {
    const mirror = mirrorOf(10, record('a', 9));
    expect(mirror.apply({ since: 12, records: [record('b', 13)], asOf: 13 })).to.equal(undefined);
    expect(mirror.asOf).to.equal(10);
  });

  it('tells of records that a newer whole list lacks as removed', () => {
    const mirror = mirrorOf(10, record('a', 9), record('b', 5));
    const changed = mirror.apply({ since: undefined, records: [record('b', 5)], asOf: 20 });
    expect(changed).to.deep.equal([{ key: 'a', revision: 20 }]);
  });

  it('gives a whole list to those that are too far behind', () => {
    const mirror = mirrorOf(10, record('a', 9));
    mirror.apply({ since: 10, records: [record('b', 11)], asOf: 11 });
    expect(mirror.newsSince(4)?.since).to.equal(undefined);
    expect(mirror.newsSince(10)?.records.map(({ key }) => key)).to.deep.equal(['b']);
    expect(mirror.newsSince(11)).to.equal(undefined);
  });

  it('ends as the store whatever copy brings another forward, and in whatever order', () => {
    const change = fc.record({ key: fc.constantFrom('a', 'b', 'c'), isRemoval: fc.boolean() });
    const sync = fc.tuple(fc.nat(2), fc.nat(2), fc.nat(3));
    fc.assert(
      fc.property(fc.array(change, { maxLength: 30 }), fc.array(sync), (changes, syncs) => {
        const store = mirrorOf(1);
        const copies = [new RecordMirror(), new RecordMirror(), new RecordMirror()];
        let revision = 1;
        changes.forEach(({ key, isRemoval }, index) => {
          revision += 1;
          const value = isRemoval ? {} : { value: VALUE };
          store.apply({
            since: revision - 1,
            records: [{ key, revision, ...value }],
            asOf: revision,
          });
          const [from = 0, to = 0, whole = 0] = syncs[index] ?? [];
          const source = whole === 0 ? store : copies[from]!;
          const news = source.newsSince(copies[to]!.asOf);
          const before = copies[to]!.asOf ?? 0;
          if (news !== undefined) copies[to]!.apply(news);
          expect(copies[to]!.asOf ?? 0).to.be.at.least(before);
        });
        copies.forEach((copy) => {
          const news = store.newsSince(copy.asOf);
          if (news !== undefined) copy.apply(news);
          const keys = (mirror: RecordMirror): readonly string[] =>
            mirror.records.map((each) => `${each.key}@${each.revision}`).sort();
          expect(keys(copy)).to.deep.equal(keys(store));
        });
      }),
      { seed: 3, numRuns: 300 },
    );
  });
});
