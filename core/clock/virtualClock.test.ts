import { expect } from 'chai';
import fc from 'fast-check';
import { createVirtualClock } from './virtualClock.ts';

describe('createVirtualClock', () => {
  it('runs calls by due time and, at the same time, in the order scheduled', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(20), { maxLength: 40 }), (delays) => {
        const clock = createVirtualClock();
        const seen: number[] = [];
        delays.forEach((delay, index) => clock.schedule(delay, () => seen.push(index)));
        while (clock.runNext());
        const expected = delays
          .map((delay, index) => ({ delay, index }))
          .sort((a, b) => a.delay - b.delay || a.index - b.index)
          .map(({ index }) => index);
        expect(seen).to.deep.equal(expected);
      }),
      { seed: 11 },
    );
  });

  it('does not run a cancelled call', () => {
    const clock = createVirtualClock();
    const seen: number[] = [];
    const cancel = clock.schedule(5, () => seen.push(1));
    clock.schedule(6, () => seen.push(2));
    cancel();
    while (clock.runNext());
    expect(seen).to.deep.equal([2]);
    expect(clock.now()).to.equal(6);
  });
});
