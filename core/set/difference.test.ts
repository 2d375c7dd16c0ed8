import { expect } from 'chai';
import fc from 'fast-check';
import {
  applyDifference,
  buildSet,
  computeDifference,
  formatDifference,
  packParts,
  OBJECT_KINDS,
  packSet,
  parseDifference,
  SIDECAR_SCOPE,
  unpackSet,
} from './mod.ts';
import type { Adapter, SetParts, SetObject } from './mod.ts';

const ALL_KINDS = new Set(OBJECT_KINDS);

function createAdapter(index: number, versions: readonly string[]): Adapter {
  const name = `house/aid-${index}`;
  return { kind: 'adapter', name, tenant: 'house', pool: 'p', versions, shared: false };
}

const COMMON_OBJECTS: readonly SetObject[] = [
  { kind: 'tenant', name: 'house' },
  { kind: 'limit', name: 'house', requestsPerSecond: 1, requestsInFlight: 2 },
  {
    kind: 'pool',
    name: 'p',
    baseModel: 'm',
    policy: 'load-stalls',
    slots: 4,
    loadsPerSecond: 4,
    loadsAtOnce: 2,
  },
];

function createObjects(versions: ReadonlyMap<number, number>): readonly SetObject[] {
  return [
    ...COMMON_OBJECTS,
    ...[...versions].map(([index, version]) => createAdapter(index, [`${version}`])),
  ];
}

const adapters = fc
  .uniqueArray(fc.tuple(fc.nat(60), fc.nat(3)), { selector: ([index]) => index, minLength: 1 })
  .map((entries) => new Map(entries));

function readFrom(values: ReadonlyMap<string, string>, readNames: string[] = []) {
  return (name: string): Promise<string | undefined> => {
    readNames.push(name);
    return Promise.resolve(values.get(name));
  };
}

function packValues(objects: readonly SetObject[], generation: number, previous?: SetParts) {
  const packed = packSet(objects, generation, previous);
  const values = new Map(packed.values.map(({ name, text }) => [name, text]));
  return { ...packed, values };
}

describe('applyDifference', () => {
  it('turns any set into any other with the same buckets', () => {
    fc.assert(
      fc.property(adapters, adapters, (before, after) => {
        const [from, to] = [packParts(createObjects(before)), packParts(createObjects(after))];
        const difference = parseDifference(formatDifference(computeDifference(from, to)!))!;
        expect(applyDifference(from, difference, ALL_KINDS)).to.deep.equal(to);
      }),
      { seed: 6, numRuns: 200 },
    );
  });

  it('rejects a difference whose digests do not match', () => {
    const from = packParts(createObjects(new Map([[1, 1]])));
    const to = packParts(createObjects(new Map([[1, 2]])));
    const difference = computeDifference(from, to)!;
    const forged = difference.parts.map((part) => ({ ...part, put: [] }));
    expect(applyDifference(from, { ...difference, parts: forged }, ALL_KINDS)).to.equal(undefined);
    expect(applyDifference(to, difference, ALL_KINDS)).to.equal(undefined);
  });

  it('updates the manifest for kinds that are not held', async () => {
    const first = packValues(createObjects(new Map([[1, 1]])), 1);
    const held = await unpackSet(first.head, readFrom(first.values), SIDECAR_SCOPE);
    const second = packValues(createObjects(new Map([[1, 2]])), 2, first.setParts);
    const names: string[] = [];
    const next = await unpackSet(
      second.head,
      readFrom(second.values, names),
      SIDECAR_SCOPE,
      held as SetParts,
    );
    expect(next).to.have.property('digest', second.head.digest);
    expect(names).to.deep.equal([`differences/${first.head.digest}`]);
    const kinds = (next as SetParts).manifest
      .filter(({ digest }) => (next as SetParts).texts.has(digest))
      .map(({ kind }) => kind);
    expect(kinds).to.have.members(['pool', 'limit']);
  });
});

describe('unpackSet', () => {
  it('reads the manifest and changed parts when a difference is missing', async () => {
    const first = packValues(createObjects(new Map([[1, 1]])), 1);
    const second = packValues(createObjects(new Map([[1, 2]])), 2, first.setParts);
    second.values.delete(`differences/${first.head.digest}`);
    const next = await unpackSet(second.head, readFrom(second.values), ALL_KINDS, first.setParts);
    expect(next).to.deep.equal(second.setParts);
  });

  it('rejects a corrupted part', async () => {
    const first = packValues(createObjects(new Map([[1, 1]])), 1);
    const part = [...first.values.keys()].find((name) => name.startsWith('parts/'))!;
    first.values.set(part, 'damaged');
    const next = await unpackSet(first.head, readFrom(first.values), ALL_KINDS);
    expect(next).to.have.property('kind', 'unreadable');
  });
});

describe('buildSet', () => {
  it('indexes every adapter by name and no other name', () => {
    const objects = Array.from({ length: 3000 }, (_, index) => createAdapter(index, ['1']));
    const set = buildSet(packParts([...COMMON_OBJECTS, ...objects]), 1);
    objects.forEach((each) => expect(set.adapters.get(each.name)).to.deep.equal(each));
    expect(set.adapters.get('house/aid-3000')).to.equal(undefined);
    expect(set.adapters.get('house/aid-')).to.equal(undefined);
    expect(set.adapters.size).to.equal(3000);
  });
});
