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

  describe('with a peer that is busy', () => {
    let opened: (() => void) | undefined;

    let closed: (() => void) | undefined;

    let links: ReconnectingLinks;

    function createLinksTo(silenceMs: number): ReconnectingLinks {
      return new ReconnectingLinks({
        clock,
        dial: (address, events) => {
          dialed.push(address);
          opened = () => events.opened();
          closed = () => events.closed();
          return { send: () => undefined, close: () => undefined };
        },
        onOpen: () => undefined,
        onMessage: () => undefined,
        onLost: () => undefined,
        silenceMs,
        redialDelayMs: 3000,
      });
    }

    function tickUntil(time: number): void {
      while (clock.now() < time) {
        clock.advanceTo(clock.now() + 100);
        links.tick();
      }
    }

    // Links were dialled again before they were open, for as long as the peer was busy.
    it('gives the link its time to open', () => {
      links = createLinksTo(Infinity);
      links.open('busy');
      tickUntil(2900);
      expect(dialed).to.deep.equal(['busy']);
      opened!();
      tickUntil(20_000);
      expect(dialed).to.deep.equal(['busy']);
      expect(links.isOpen('busy')).to.equal(true);
    });

    it('dials again soon once the connection has closed', () => {
      links = createLinksTo(Infinity);
      links.open('ended');
      closed!();
      tickUntil(800);
      expect(dialed).to.deep.equal(['ended', 'ended']);
    });

    it('dials again if a peer that sends without being asked stays silent', () => {
      links = createLinksTo(1500);
      links.open('busy');
      opened!();
      tickUntil(3200);
      expect(dialed).to.deep.equal(['busy', 'busy']);
    });
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
