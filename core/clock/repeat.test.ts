import { expect } from 'chai';
import { createVirtualClock, repeat } from './mod.ts';
import type { VirtualClock } from './mod.ts';

describe('repeat', () => {
  let clock: VirtualClock;

  let errors: unknown[];

  beforeEach(() => {
    clock = createVirtualClock();
    errors = [];
  });

  function runUntil(time: number): void {
    while ((clock.nextDue() ?? Infinity) <= time) clock.runNext();
  }

  describe('with a task that throws', () => {
    /** Guards against a repeating task that one error ends. */
    it('runs it again after the interval, and reports each error', () => {
      const runsAt: number[] = [];
      repeat({
        clock,
        intervalMs: () => 10,
        run: () => {
          runsAt.push(clock.now());
          if (runsAt.length < 3) throw new Error(`run ${runsAt.length}`);
        },
        onError: (error) => errors.push(error),
      });
      runUntil(45);
      expect(runsAt).to.deep.equal([10, 20, 30, 40]);
      expect(errors.map(String)).to.deep.equal(['Error: run 1', 'Error: run 2']);
    });
  });

  describe('once it is cancelled', () => {
    it('does not run the task any more', () => {
      let runs = 0;
      const cancel = repeat({
        clock,
        intervalMs: () => 10,
        run: () => {
          runs += 1;
        },
        onError: (error) => errors.push(error),
      });
      runUntil(25);
      cancel();
      runUntil(100);
      expect(runs).to.equal(2);
    });

    it('does not run it again after the run that cancels it', () => {
      let runs = 0;
      const cancel = repeat({
        clock,
        intervalMs: () => 10,
        run: () => {
          runs += 1;
          cancel();
        },
        onError: (error) => errors.push(error),
      });
      runUntil(100);
      expect(runs).to.equal(1);
    });
  });
});
