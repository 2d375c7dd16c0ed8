import { expect } from 'chai';
import { createVirtualClock } from '../../core/clock/mod.ts';
import type { VirtualClock } from '../../core/clock/mod.ts';
import { ReconnectingLinks } from './mod.ts';

describe('ReconnectingLinks', () => {
  let clock: VirtualClock;

  let dialed: string[];

  function createLinks(brokenAddress: string): ReconnectingLinks {
    return new ReconnectingLinks({
      clock,
      dial: (address) => {
        if (address === brokenAddress) throw new Error('invalid address');
        dialed.push(address);
        return { send: () => undefined, close: () => undefined };
      },
      onOpen: () => undefined,
      onMessage: () => undefined,
      onLost: () => undefined,
    });
  }

  beforeEach(() => {
    clock = createVirtualClock();
    dialed = [];
  });

  describe('with an address that cannot be dialled', () => {
    // Guards against one invalid address that keeps all later links from being opened again.
    it('dials the others again', () => {
      const links = createLinks('first');
      expect(() => links.open('first')).to.throw('invalid address');
      links.open('second');
      links.open('third');
      clock.advanceTo(1000);
      expect(() => links.tick()).to.throw('invalid address');
      expect(dialed).to.deep.equal(['second', 'third', 'second', 'third']);
    });
  });
});
