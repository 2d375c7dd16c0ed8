import { expect } from 'chai';
import { createVirtualClock } from '../../core/clock/mod.ts';
import type { FactCopy } from '../../core/factCopies/mod.ts';
import { FactKeeping } from './_factKeeping.ts';
import type { SharedStates } from './peerTask.ts';

const LIMIT = { server: 'i-1', perSecond: 2, isEnded: false, ageMs: 0 };

/** State of which one limit is known, or nothing. */
function statesOf(change: number, applied: unknown[] = []): SharedStates {
  const empty = { change: 0, updateSince: () => undefined, applyUpdate: () => undefined };
  const limits = {
    change,
    updateSince: () => [LIMIT],
    applyUpdate: (update: unknown) => applied.push(update),
  };
  return { quarantine: empty, requests: empty, limits, notices: empty };
}

describe('FactKeeping', () => {
  const keepers = Array.from({ length: 20 }, (_, index) => `k${index}`);

  /** Starts the tasks of entries; returns what each keeper received from each. */
  function start(count: number, change = 1) {
    const clock = createVirtualClock();
    const received: {
      readonly entry: string;
      readonly keeper: string;
      readonly facts: FactCopy;
    }[] = [];
    const closed = new Set<string>();
    const names = Array.from({ length: count }, (_, index) => `e${index}`);
    const tasks = names.map(
      (self) =>
        new FactKeeping({
          clock,
          self,
          peers: () => names.filter((name) => name !== self),
          keepers: () => ({
            all: () => keepers.map((address) => ({ address, service: 's', version: 'v1' })),
            isOpen: (address) => !closed.has(address),
            send: (keeper, message) => {
              if (message.kind !== 'facts') return;
              received.push({ entry: self, keeper, facts: message.facts });
            },
          }),
          shared: () => statesOf(change),
          onSharedChange: () => undefined,
        }),
    );
    const run = (ms: number): void => {
      const end = clock.now() + ms;
      while ((clock.nextDue() ?? Infinity) <= end) clock.runNext();
      clock.advanceTo(end);
    };
    return { tasks, received, closed, run };
  }

  it('sends copies from two of 300 entries to the same three keepers, soon after a change', () => {
    const { tasks, received, run } = start(300);
    tasks.forEach((task) => task.noteChange());
    tasks.forEach((task) => task.noteChange());
    run(250);
    expect(new Set(received.map(({ entry }) => entry))).to.have.property('size', 2);
    expect(new Set(received.map(({ keeper }) => keeper))).to.have.property('size', 3);
    expect(received).to.have.length(6);
    expect(received[0]!.facts.limits).to.deep.equal([LIMIT]);
  });

  it('sends copies to others instead of a keeper that cannot be reached, and to it once it can', () => {
    const { tasks, received, closed, run } = start(1);
    tasks[0]!.noteChange();
    run(250);
    const [first] = received.splice(0, Infinity);
    closed.add(first!.keeper);
    tasks[0]!.noteChange();
    run(250);
    expect(received.map(({ keeper }) => keeper)).to.not.include(first!.keeper);
    expect(received.splice(0, Infinity)).to.have.length(3);
    closed.delete(first!.keeper);
    tasks[0]!.noteOpen(first!.keeper);
    expect(received.map(({ keeper }) => keeper)).to.deep.equal([first!.keeper]);
  });

  it('sends nothing while nothing is known', () => {
    const { tasks, received, run } = start(1, 0);
    keepers.forEach((keeper) => tasks[0]!.noteOpen(keeper));
    run(1000);
    expect(received).to.deep.equal([]);
  });

  it('applies what a keeper has kept', () => {
    const applied: unknown[] = [];
    const task = new FactKeeping({
      clock: createVirtualClock(),
      self: 'e0',
      peers: () => [],
      keepers: () => ({ all: () => [], isOpen: () => false, send: () => undefined }),
      shared: () => statesOf(0, applied),
      onSharedChange: () => undefined,
    });
    task.apply({ limits: [LIMIT] });
    expect(applied).to.deep.equal([[LIMIT]]);
  });
});
