import { expect } from 'chai';
import fc from 'fast-check';
import type { Engine, Holding } from '../serving/mod.ts';
import { AdapterScheduler } from './mod.ts';

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

function createScheduler(): AdapterScheduler {
  const scheduler = new AdapterScheduler();
  scheduler.applyEngine(ENGINE);
  return scheduler;
}

function report(
  scheduler: AdapterScheduler,
  holdings: readonly Holding[],
  now: number,
  coming: readonly Holding[] = [],
): void {
  scheduler.applyHoldings({ holdings, coming, isBusy: false }, now);
}

describe('AdapterScheduler', () => {
  it('loads a base model on an empty engine before any adapter', () => {
    const scheduler = createScheduler();
    report(scheduler, [], 0);
    scheduler.requestLoad('m/a1', 0, 500, 0);
    expect(scheduler.nextOrder(0)).to.deep.equal({ kind: 'load', name: 'm' });
  });

  it('orders nothing before it knows the capacity of the engine', () => {
    const scheduler = new AdapterScheduler();
    report(scheduler, [], 0);
    scheduler.requestLoad('m/a1', 0, 500, 0);
    expect(scheduler.nextOrder(0)).to.equal(undefined);
  });

  it('loads the model that was requested first', () => {
    const scheduler = createScheduler();
    report(scheduler, holding(), 0);
    scheduler.requestLoad('m/a1', 0, 500, 1);
    scheduler.requestLoad('m/a2', 0, 500, 0);
    expect(scheduler.nextOrder(2)).to.deep.equal({ kind: 'load', name: 'm/a2' });
  });

  it('replaces a loaded version that is older than requested', () => {
    const scheduler = createScheduler();
    report(scheduler, holding('a1'), 0);
    scheduler.requestLoad('m/a1', 2, 500, 0);
    expect(scheduler.nextOrder(1)).to.deep.equal({ kind: 'load', name: 'm/a1', version: 2 });
  });

  it('drops a pending load when no request waits for it any longer', () => {
    const scheduler = createScheduler();
    report(scheduler, holding(), 0);
    scheduler.requestLoad('m/a1', 0, 500, 0);
    report(scheduler, holding(), 501);
    expect(scheduler.nextOrder(501)).to.equal(undefined);
    expect(scheduler.awaited).to.equal(0);
  });

  it('evicts the least popular adapter that is not in use when all slots are occupied', () => {
    const scheduler = createScheduler();
    report(scheduler, holding('a1', 'a2', 'a3', 'a4'), 0);
    ['a1', 'a1', 'a3', 'a4', 'a4'].forEach((name) =>
      scheduler.requestLoad(`m/${name}`, 0, 500, 10),
    );
    scheduler.setUseCount('e1', 'm/a2', 1, 20);
    scheduler.requestLoad('m/a9', 0, 500, 1000);
    expect(scheduler.nextOrder(1000)).to.deep.equal({ kind: 'unload', name: 'm/a3' });
  });

  it('keeps an adapter for a minimum time after its load, so that waiting requests can be sent', () => {
    const scheduler = createScheduler();
    report(scheduler, holding('a1', 'a2', 'a3', 'a4'), 0);
    scheduler.requestLoad('m/a9', 0, 500, 100);
    expect(scheduler.nextOrder(100)).to.equal(undefined);
    expect(scheduler.freeablePlaces(100)).to.equal(0);
    expect(scheduler.nextOrder(450)?.kind).to.equal('unload');
  });

  it('does not evict an adapter until the entry that uses it is removed', () => {
    const scheduler = createScheduler();
    report(scheduler, holding('a1', 'a2', 'a3', 'a4'), 0);
    ['a1', 'a2', 'a3', 'a4'].forEach((name) => scheduler.setUseCount('e1', `m/${name}`, 1, 0));
    scheduler.requestLoad('m/a9', 0, 5000, 1000);
    expect(scheduler.nextOrder(1000)).to.equal(undefined);
    scheduler.forgetEntry('e1');
    expect(scheduler.nextOrder(1000)?.kind).to.equal('unload');
  });

  it('counts adapters that are loading and load orders without a response as occupied slots', () => {
    const scheduler = createScheduler();
    report(scheduler, holding('a1', 'a2'), 0, [{ name: 'm/a3', version: 1 }]);
    scheduler.noteUnconfirmed({ kind: 'load', name: 'm/a4' }, 0);
    scheduler.requestLoad('m/a5', 0, 5000, 0);
    const order = scheduler.nextOrder(500);
    expect(order?.kind).to.equal('unload');
  });

  it('never orders more adapters than the engine has slots, even when responses are lost', () => {
    const step = fc.record({
      name: fc.integer({ min: 1, max: 9 }),
      act: fc.constantFrom('request', 'use', 'release', 'finishLoads', 'loseResponse'),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
        const scheduler = createScheduler();
        const held = new Set<string>();
        const coming = new Set<string>();
        let now = 0;
        const sendReport = (): void => {
          const toHoldings = (names: ReadonlySet<string>): readonly Holding[] =>
            [...names].map((name) => ({ name, version: 1 }));
          report(scheduler, [BASE, ...toHoldings(held)], now, toHoldings(coming));
        };
        const sendNextOrder = (isResponseLost: boolean): void => {
          const order = scheduler.nextOrder(now);
          if (order === undefined) return;
          if (order.kind === 'load') coming.add(order.name);
          else held.delete(order.name);
          if (isResponseLost) scheduler.noteUnconfirmed(order, now);
          expect(held.size + coming.size).to.be.at.most(ENGINE.adapterPlaces);
        };
        sendReport();
        steps.forEach(({ name, act }) => {
          now += 150;
          const modelName = `m/a${name}`;
          if (act === 'request') scheduler.requestLoad(modelName, 0, 2000, now);
          if (act === 'use') scheduler.setUseCount('e1', modelName, 1, now);
          if (act === 'release') scheduler.setUseCount('e1', modelName, 0, now);
          if (act === 'finishLoads') {
            [...coming].forEach((each) => held.add(each));
            coming.clear();
          }
          sendNextOrder(act === 'loseResponse');
          sendReport();
        });
      }),
      { seed: 9, numRuns: 300 },
    );
  });
});
