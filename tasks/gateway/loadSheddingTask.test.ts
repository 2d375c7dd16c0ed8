import { expect } from 'chai';
import { createVirtualClock } from '../../core/clock/mod.ts';
import type { Milliseconds } from '../../core/clock/mod.ts';
import { Metrics } from '../../metrics/mod.ts';
import { LoadSheddingTask } from './mod.ts';

/** Runs a task whose timers are late by a time, and returns the changes with the times at which they came. */
function runTask(
  lagMs: Milliseconds,
  peerLagsMs: readonly Milliseconds[],
  durationMs: Milliseconds,
): readonly (readonly [Milliseconds, boolean])[] {
  const clock = createVirtualClock();
  const changes: (readonly [Milliseconds, boolean])[] = [];
  const task = new LoadSheddingTask({
    clock,
    log: () => undefined,
    metrics: new Metrics(),
    peerLagsMs: () => peerLagsMs,
    onChange: (isShedding) => changes.push([clock.now(), isShedding]),
  });
  task.start();
  while (clock.now() < durationMs) {
    clock.advanceTo((clock.nextDue() ?? durationMs) + lagMs);
    clock.runNext();
  }
  task.close();
  return changes;
}

describe('LoadSheddingTask', () => {
  describe('of an entry that has just started', () => {
    // Entries on small hosts took callers for two seconds that they could not serve.
    it('sheds as soon as the entry lags behind the others', () => {
      const [first] = runTask(300, [5, 5, 5], 2000);
      expect(first?.[1]).to.equal(true);
      expect(first?.[0]).to.be.below(1000);
    });

    it('does not shed before it knows of any other entry', () => {
      expect(runTask(300, [], 2000)).to.have.length(0);
    });

    it('does not shed while all entries lag', () => {
      expect(runTask(300, [280, 310, 290], 2000)).to.have.length(0);
    });
  });
});
