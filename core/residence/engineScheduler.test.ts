import { expect } from 'chai';
import { createStaticRateLimiter } from './loadRate.ts';
import { EngineScheduler } from './engineScheduler.ts';
import type { SchedulerAction, EngineSchedulerOptions } from './engineScheduler.ts';

const DEADLINE = 60_000;

function createScheduler(options: Partial<EngineSchedulerOptions> = {}): EngineScheduler {
  const loadRate = createStaticRateLimiter(1000);
  const scheduler = new EngineScheduler({ slots: 2, batchWidth: 2, loadRate, ...options });
  scheduler.setResident([], 0);
  return scheduler;
}

function enqueue(
  scheduler: EngineScheduler,
  name: string,
  adapterVersion: string,
  now: number,
): readonly SchedulerAction[] {
  return scheduler.enqueue({ name, adapterVersion, deadline: DEADLINE }, now);
}

function ordersOf(actions: readonly SchedulerAction[]): readonly string[] {
  return actions.flatMap((action) =>
    action.kind === 'order' ? [`${action.order.kind} ${action.order.adapterVersion}`] : [],
  );
}

/** Runs one request to its end, loading its adapter version when needed. */
function use(scheduler: EngineScheduler, adapterVersion: string, now: number): void {
  const orders = ordersOf(enqueue(scheduler, `${adapterVersion}-${now}`, adapterVersion, now));
  if (orders.length > 0) {
    scheduler.handleOrderResult({ kind: 'load', adapterVersion }, 'obeyed', now);
  }
  scheduler.handleRequestEnd(`${adapterVersion}-${now}`, now);
}

function startsOf(actions: readonly SchedulerAction[]): readonly string[] {
  return actions.flatMap((action) => (action.kind === 'start' ? [action.request] : []));
}

describe('EngineScheduler', () => {
  describe('enqueue', () => {
    it('orders one load for all requests of an adapter version and starts them together', () => {
      const scheduler = createScheduler();
      expect(ordersOf(enqueue(scheduler, 'r1', 'a', 0))).to.deep.equal(['load a']);
      expect(enqueue(scheduler, 'r2', 'a', 1)).to.deep.equal([]);
      const actions = scheduler.handleOrderResult(
        { kind: 'load', adapterVersion: 'a' },
        'obeyed',
        250,
      );
      expect(startsOf(actions)).to.deep.equal(['r1', 'r2']);
    });

    it('refuses a request on arrival when its expected wait exceeds its deadline', () => {
      const scheduler = createScheduler({ loadRate: createStaticRateLimiter(1) });
      for (let index = 0; index < 8; index += 1) enqueue(scheduler, `r${index}`, `a${index}`, 0);
      const late = { name: 'late', adapterVersion: 'z', deadline: 5000 };
      const [action] = scheduler.enqueue(late, 0);
      expect(action).to.have.nested.property('outcome.reason', 'overloaded');
      expect(action).to.have.nested.property('outcome.retryAfterMs', 8000);
      const early = { name: 'early', adapterVersion: 'y', deadline: 10_000 };
      expect(scheduler.enqueue(early, 0)).to.deep.equal([]);
    });
  });

  describe('tick', () => {
    it('refuses only the requests whose deadline has passed', () => {
      const scheduler = createScheduler({ refuseOnArrival: 'none' });
      scheduler.enqueue({ name: 'r1', adapterVersion: 'a', deadline: 100 }, 0);
      enqueue(scheduler, 'r2', 'a', 0);
      const actions = scheduler.tick(100);
      expect(actions).to.have.length(1);
      expect(actions[0]).to.include({ kind: 'refuse', request: 'r1' });
      expect(scheduler.waiting).to.equal(1);
    });
  });

  describe('loads', () => {
    it('start with the adapter version that has more waiting requests', () => {
      const scheduler = createScheduler({ slots: 3 });
      enqueue(scheduler, 'r0', 'first', 0);
      enqueue(scheduler, 'r1', 'one', 10);
      ['r2', 'r3', 'r4'].forEach((name) => enqueue(scheduler, name, 'three', 20));
      const order = { kind: 'load', adapterVersion: 'first' } as const;
      expect(ordersOf(scheduler.handleOrderResult(order, 'obeyed', 250))).to.deep.equal([
        'load three',
      ]);
    });

    it('evict the least frequently used adapter version, never one in use', () => {
      const scheduler = createScheduler();
      [0, 10, 20].forEach((now) => use(scheduler, 'often', now));
      use(scheduler, 'once', 30);
      expect(ordersOf(enqueue(scheduler, 'r1', 'new', 1000))).to.deep.equal(['unload once']);
      scheduler.handleOrderResult({ kind: 'unload', adapterVersion: 'once' }, 'obeyed', 1001);
      scheduler.handleOrderResult({ kind: 'load', adapterVersion: 'new' }, 'obeyed', 1251);
      enqueue(scheduler, 'r2', 'often', 1300);
      expect(ordersOf(enqueue(scheduler, 'r3', 'newer', 3000))).to.deep.equal([]);
    });

    it('are ordered again for requests that arrive while their adapter version is unloading', () => {
      const scheduler = createScheduler({ slots: 1 });
      use(scheduler, 'old', 0);
      expect(ordersOf(enqueue(scheduler, 'r1', 'new', 1000))).to.deep.equal(['unload old']);
      enqueue(scheduler, 'r2', 'old', 1001);
      const unloaded = scheduler.handleOrderResult(
        { kind: 'unload', adapterVersion: 'old' },
        'obeyed',
        1002,
      );
      expect(ordersOf(unloaded)).to.deep.equal(['load new']);
      scheduler.handleOrderResult({ kind: 'load', adapterVersion: 'new' }, 'obeyed', 1252);
      expect(ordersOf(scheduler.handleRequestEnd('r1', 2000))).to.deep.equal(['unload new']);
    });
  });
});
