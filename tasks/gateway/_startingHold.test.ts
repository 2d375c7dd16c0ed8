import { expect } from 'chai';
import { createVirtualClock } from '../../core/clock/mod.ts';
import { StartingHold } from './_startingHold.ts';

describe('StartingHold', () => {
  it('holds for a short while after the start only, and looks several times', () => {
    const clock = createVirtualClock();
    const hold = new StartingHold(clock);
    let looks = 0;
    const look = (): void => {
      looks += 1;
      if (hold.isOpen) hold.again(look);
    };
    hold.again(look);
    while (clock.runNext());
    expect(looks).to.be.within(5, 50);
    expect(hold.isOpen).to.equal(false);
    expect(clock.now()).to.be.at.most(1000);
  });
});
