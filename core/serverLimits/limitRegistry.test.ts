import { expect } from 'chai';
import { LimitRegistry } from './mod.ts';
import type { ServerLimit } from './mod.ts';

type World = { readonly registry: LimitRegistry; readonly limits: ServerLimit[] };

function createRegistry(): World {
  const limits: ServerLimit[] = [];
  const registry = new LimitRegistry({
    onLimit: (limit) => limits.push(limit),
    onChange: () => undefined,
  });
  return { registry, limits };
}

/** Sends to `to` all that `from` has learned. */
function pass(from: LimitRegistry, to: LimitRegistry, now: number): void {
  to.applyUpdate(from.updateSince(0, now) ?? [], now);
}

describe('LimitRegistry', () => {
  describe('for one process', () => {
    it('knows the limit of a server from the first response that names it', () => {
      const { registry, limits } = createRegistry();
      expect(registry.rateOf('a', 0)).to.equal(undefined);
      registry.noteNamed('a', 1.4, 0, 30);
      registry.noteNamed('a', 1.4, 10, 40);
      expect(registry.rateOf('a', 60_000)).to.equal(1.4);
      expect(registry.rateOf('b', 60_000)).to.equal(undefined);
      expect(limits).to.deep.equal([{ server: 'a', perSecond: 1.4, isEnded: false }]);
    });

    it('takes a lower limit at once, a higher one or none only from a request sent later', () => {
      const { registry } = createRegistry();
      registry.noteNamed('a', 2, 0, 100);
      registry.noteNamed('a', 5, 90, 120);
      registry.noteUnnamed('a', 90, 130);
      expect(registry.rateOf('a', 130)).to.equal(2);
      registry.noteNamed('a', 1, 90, 140);
      expect(registry.rateOf('a', 140)).to.equal(1);
      registry.noteNamed('a', 5, 150, 160);
      expect(registry.rateOf('a', 160)).to.equal(5);
      registry.noteUnnamed('a', 170, 180);
      expect(registry.size).to.equal(0);
    });

    it('lets the rate grow gradually after the end of a limit', () => {
      const { registry } = createRegistry();
      registry.noteNamed('a', 2, 0, 0);
      registry.noteUnnamed('a', 10, 20);
      expect(registry.rateOf('a', 1000)).to.equal(2);
      expect(registry.rateOf('a', 2020)).to.equal(4);
      expect(registry.rateOf('a', 4020)).to.equal(16);
      expect(registry.rateOf('a', 6020)).to.equal(undefined);
    });

    it('ends the limit of a server that has started again', () => {
      const { registry } = createRegistry();
      registry.noteNamed('a', 2, 0, 0);
      registry.noteRestart('a', 100);
      expect(registry.rateOf('a', 7000)).to.equal(undefined);
    });

    it('forgets a limit that has not been heard of for ten minutes', () => {
      const { registry } = createRegistry();
      registry.noteNamed('a', 2, 0, 0);
      registry.tick(600_000);
      expect(registry.rateOf('a', 600_000)).to.equal(2);
      registry.tick(600_001);
      expect(registry.rateOf('a', 600_001)).to.equal(undefined);
    });

    it('keeps no more than 1024 limits', () => {
      const { registry } = createRegistry();
      for (let number = 0; number < 2000; number += 1) registry.noteNamed(`s${number}`, 1, 0, 0);
      expect(registry.size).to.equal(1024);
    });
  });

  describe('between processes', () => {
    it('passes on limits and their ends', () => {
      const [a, b] = [createRegistry().registry, createRegistry().registry];
      a.noteNamed('s', 2, 0, 100);
      pass(a, b, 150);
      expect(b.rateOf('s', 150)).to.equal(2);
      a.noteUnnamed('s', 1000, 1100);
      pass(a, b, 1150);
      expect(b.size).to.equal(0);
    });

    it('agrees on the stricter limit when the order of the responses is not known', () => {
      const [a, b] = [createRegistry().registry, createRegistry().registry];
      a.noteNamed('s', 5, 0, 100);
      b.noteNamed('s', 1, 0, 90);
      pass(a, b, 120);
      pass(b, a, 120);
      pass(a, b, 140);
      expect([a.rateOf('s', 140), b.rateOf('s', 140)]).to.deep.equal([1, 1]);
    });

    it('answers older news with what it knows', () => {
      const [a, b] = [createRegistry().registry, createRegistry().registry];
      a.noteNamed('s', 2, 0, 100);
      b.noteNamed('s', 2, 0, 100);
      b.noteUnnamed('s', 200, 210);
      a.noteNamed('s', 2, 900, 1000);
      const before = a.change;
      pass(b, a, 1020);
      expect(a.rateOf('s', 9000)).to.equal(2);
      b.applyUpdate(a.updateSince(before, 1020)!, 1040);
      expect(b.rateOf('s', 9000)).to.equal(2);
    });

    it('comes to rest', () => {
      const [a, b] = [createRegistry().registry, createRegistry().registry];
      a.noteNamed('s', 5, 0, 100);
      b.noteNamed('s', 1, 0, 90);
      for (let round = 0; round < 20; round += 1) {
        pass(a, b, 100 + round);
        pass(b, a, 100 + round);
      }
      const changes = a.change + b.change;
      pass(a, b, 130);
      pass(b, a, 130);
      expect(a.change + b.change).to.equal(changes);
    });
  });
});
