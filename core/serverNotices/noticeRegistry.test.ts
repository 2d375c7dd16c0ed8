import { expect } from 'chai';
import { NoticeRegistry } from './mod.ts';

const SERVER = { id: 'i-1', bornAt: 1000 };

function createRegistry(events: string[] = []): NoticeRegistry {
  return new NoticeRegistry({
    onLeaving: (server, source) => events.push(`${server} leaves (${source})`),
    onPause: (server, pauseMs, source) =>
      events.push(`${server} pauses ${Math.round(pauseMs)} (${source})`),
    onChange: () => undefined,
  });
}

describe('NoticeRegistry', () => {
  describe('a server that leaves', () => {
    it('leaves for good, whatever comes later', () => {
      const events: string[] = [];
      const registry = createRegistry(events);
      registry.noteLeaving(SERVER, 'answer', 10);
      registry.noteAnswer(SERVER, 20);
      registry.noteLeaving(SERVER, 'record', 30);
      expect(registry.isLeaving(SERVER)).to.equal(true);
      expect(events).to.deep.equal(['i-1 leaves (answer)']);
    });

    it('does not leave any more once it has started again under its id', () => {
      const registry = createRegistry();
      const restarted = { ...SERVER, bornAt: 2000 };
      registry.noteLeaving(SERVER, 'answer', 10);
      expect(registry.isLeaving(restarted)).to.equal(false);
      registry.notePause(restarted, 1000, 20);
      expect(registry.isLeaving(restarted)).to.equal(false);
    });

    it('is not undone by what is said of an earlier start', () => {
      const registry = createRegistry();
      registry.noteLeaving({ ...SERVER, bornAt: 2000 }, 'peer', 10);
      registry.noteLeaving(SERVER, 'peer', 20);
      expect(registry.isLeaving({ ...SERVER, bornAt: 2000 })).to.equal(true);
      // The record of the later start has not arrived yet.
      expect(registry.isLeaving(SERVER)).to.equal(true);
    });

    it('is remembered while it is listed, and for ten minutes otherwise', () => {
      const registry = createRegistry();
      registry.noteLeaving(SERVER, 'answer', 0);
      registry.tick(() => false, 590_000);
      registry.tick(() => true, 700_000);
      expect(registry.isLeaving(SERVER)).to.equal(true);
      registry.tick(() => false, 700_000);
      expect(registry.isLeaving(SERVER)).to.equal(false);
    });
  });

  describe('a server that asks for a pause', () => {
    it('gets one request at its end, and all once that is answered', () => {
      const registry = createRegistry();
      registry.notePause(SERVER, 4000, 1000);
      expect(registry.pauseLeftMs(SERVER, 3000)).to.equal(2000);
      expect(registry.pauseLeftMs(SERVER, 5000)).to.equal(0);
      registry.noteSent(SERVER, 5000);
      expect(registry.pauseLeftMs(SERVER, 5000)).to.equal(1000);
      registry.noteAnswer(SERVER, 5000);
      expect(registry.pauseLeftMs(SERVER, 5001)).to.equal(0);
    });

    it('gets a further request when the one at the end has no answer', () => {
      const registry = createRegistry();
      registry.notePause(SERVER, 4000, 0);
      registry.noteSent(SERVER, 4000);
      expect(registry.pauseLeftMs(SERVER, 4999)).to.equal(1);
      expect(registry.pauseLeftMs(SERVER, 5000)).to.equal(0);
    });

    it('keeps the last of several ends, and its pause after an answer to an earlier request', () => {
      const registry = createRegistry();
      registry.notePause(SERVER, 4000, 0);
      registry.notePause(SERVER, 500, 100);
      registry.noteAnswer(SERVER, 50);
      expect(registry.pauseLeftMs(SERVER, 200)).to.equal(3800);
    });

    it('pauses anew when the request at the end is answered like that', () => {
      const registry = createRegistry();
      registry.notePause(SERVER, 1000, 0);
      registry.noteSent(SERVER, 1000);
      registry.notePause(SERVER, 1000, 1010);
      expect(registry.pauseLeftMs(SERVER, 1500)).to.equal(510);
      expect(registry.pauseLeftMs(SERVER, 2010)).to.equal(0);
    });

    it('is not quiet for ever', () => {
      const registry = createRegistry();
      registry.notePause(SERVER, 1e12, 0);
      expect(registry.pauseLeftMs(SERVER, 0)).to.equal(86_400_000);
    });
  });

  it('passes on what it knows, in any order and more than once', () => {
    const events: string[] = [];
    const first = createRegistry();
    const second = createRegistry(events);
    first.notePause(SERVER, 4000, 0);
    const earlier = first.updateSince(0, 0)!;
    first.noteLeaving(SERVER, 'answer', 100);
    const later = first.updateSince(0, 100)!;
    second.applyUpdate(later, 1120);
    second.applyUpdate(earlier, 1130);
    second.applyUpdate(later, 1140);
    expect(second.isLeaving(SERVER)).to.equal(true);
    expect(second.pauseLeftMs(SERVER, 1140)).to.be.within(3800, 4000);
    expect(events).to.deep.equal(['i-1 leaves (peer)', 'i-1 pauses 3900 (peer)']);
    expect(first.updateSince(first.change, 200)).to.equal(undefined);
  });
});
