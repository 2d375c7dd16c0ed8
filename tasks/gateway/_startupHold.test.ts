import { expect } from 'chai';
import { createVirtualClock } from '../../core/clock/mod.ts';
import { StartupHold } from './_startupHold.ts';

describe('StartupHold', () => {
  it('holds requests for at most a second after the start and rechecks them several times', () => {
    const clock = createVirtualClock();
    const hold = new StartupHold(clock);
    let checks = 0;
    const recheck = (): void => {
      checks += 1;
      if (hold.isActive) hold.recheckLater(recheck);
    };
    hold.recheckLater(recheck);
    while (clock.runNext());
    expect(checks).to.be.within(5, 50);
    expect(hold.isActive).to.equal(false);
    expect(clock.now()).to.be.at.most(1000);
  });
});
