import { expect } from 'chai';
import fc from 'fast-check';
import type { Engine, Holding } from '../serving/mod.ts';
import { AdapterPlaces } from './mod.ts';

const ENGINE: Engine = {
  batchWidth: 8,
  adapterPlaces: 4,
  weightsMb: 1100,
  loadsPerSecond: 4,
  models: [{ name: 'm', weightsMb: 1000, adapterMb: 10 }],
};

const BASE: Holding = { name: 'm', version: 1 };

function holding(...names: readonly string[]): readonly Holding[] {
  return [BASE, ...names.map((name) => ({ name: `m/${name}`, version: 1 }))];
}

function places(): AdapterPlaces {
  const made = new AdapterPlaces();
  made.applyEngine(ENGINE);
  return made;
}

function report(
  target: AdapterPlaces,
  holdings: readonly Holding[],
  now: number,
  coming: readonly Holding[] = [],
): void {
  target.applyHoldings({ holdings, coming, isBusy: false }, now);
}

describe('AdapterPlaces', () => {
  it('loads a base model on an empty engine before any adapter', () => {
    const made = places();
    report(made, [], 0);
    made.want('m/a1', 0, 500, 0);
    expect(made.nextOrder(0)).to.deep.equal({ kind: 'load', name: 'm' });
  });

  it('orders nothing before it knows what the engine can hold', () => {
    const made = new AdapterPlaces();
    report(made, [], 0);
    made.want('m/a1', 0, 500, 0);
    expect(made.nextOrder(0)).to.equal(undefined);
  });

  it('loads what was wanted first', () => {
    const made = places();
    report(made, holding(), 0);
    made.want('m/a1', 0, 500, 1);
    made.want('m/a2', 0, 500, 0);
    expect(made.nextOrder(2)).to.deep.equal({ kind: 'load', name: 'm/a2' });
  });

  it('loads the version that is asked for over an older one', () => {
    const made = places();
    report(made, holding('a1'), 0);
    made.want('m/a1', 2, 500, 0);
    expect(made.nextOrder(1)).to.deep.equal({ kind: 'load', name: 'm/a1', version: 2 });
  });

  it('forgets what nobody waits for any longer', () => {
    const made = places();
    report(made, holding(), 0);
    made.want('m/a1', 0, 500, 0);
    report(made, holding(), 501);
    expect(made.nextOrder(501)).to.equal(undefined);
    expect(made.awaited).to.equal(0);
  });

  it('makes a place by unloading the least popular adapter that is not in use', () => {
    const made = places();
    report(made, holding('a1', 'a2', 'a3', 'a4'), 0);
    ['a1', 'a1', 'a3', 'a4', 'a4'].forEach((name) => made.want(`m/${name}`, 0, 500, 10));
    made.use('e1', 'm/a2', 1, 20);
    made.want('m/a9', 0, 500, 1000);
    expect(made.nextOrder(1000)).to.deep.equal({ kind: 'unload', name: 'm/a3' });
  });

  it('lets an adapter stay for a while after its load, so that what waited is sent', () => {
    const made = places();
    report(made, holding('a1', 'a2', 'a3', 'a4'), 0);
    made.want('m/a9', 0, 500, 100);
    expect(made.nextOrder(100)).to.equal(undefined);
    expect(made.freeablePlaces(100)).to.equal(0);
    expect(made.nextOrder(450)?.kind).to.equal('unload');
  });

  it('unloads nothing that an entry uses, and frees it when the entry is gone', () => {
    const made = places();
    report(made, holding('a1', 'a2', 'a3', 'a4'), 0);
    ['a1', 'a2', 'a3', 'a4'].forEach((name) => made.use('e1', `m/${name}`, 1, 0));
    made.want('m/a9', 0, 5000, 1000);
    expect(made.nextOrder(1000)).to.equal(undefined);
    made.forgetEntry('e1');
    expect(made.nextOrder(1000)?.kind).to.equal('unload');
  });

  it('counts places of adapters on their way and of orders without an answer', () => {
    const made = places();
    report(made, holding('a1', 'a2'), 0, [{ name: 'm/a3', version: 1 }]);
    made.noteUnsettled({ kind: 'load', name: 'm/a4' }, 0);
    made.want('m/a5', 0, 5000, 0);
    const order = made.nextOrder(500);
    expect(order?.kind).to.equal('unload');
  });

  it('never orders an engine beyond its places, whatever is wanted, used, lost and late', () => {
    const step = fc.record({
      name: fc.integer({ min: 1, max: 9 }),
      act: fc.constantFrom('want', 'use', 'free', 'arrive', 'lose'),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
        const made = places();
        const held = new Set<string>();
        const coming = new Set<string>();
        let now = 0;
        const tell = (): void => {
          const list = (names: ReadonlySet<string>): readonly Holding[] =>
            [...names].map((name) => ({ name, version: 1 }));
          report(made, [BASE, ...list(held)], now, list(coming));
        };
        const give = (isLost: boolean): void => {
          const order = made.nextOrder(now);
          if (order === undefined) return;
          if (order.kind === 'load') coming.add(order.name);
          else held.delete(order.name);
          if (isLost) made.noteUnsettled(order, now);
          expect(held.size + coming.size).to.be.at.most(ENGINE.adapterPlaces);
        };
        tell();
        steps.forEach(({ name, act }) => {
          now += 150;
          const full = `m/a${name}`;
          if (act === 'want') made.want(full, 0, 2000, now);
          if (act === 'use') made.use('e1', full, 1, now);
          if (act === 'free') made.use('e1', full, 0, now);
          if (act === 'arrive') {
            [...coming].forEach((each) => held.add(each));
            coming.clear();
          }
          give(act === 'lose');
          tell();
        });
      }),
      { seed: 9, numRuns: 300 },
    );
  });
});
