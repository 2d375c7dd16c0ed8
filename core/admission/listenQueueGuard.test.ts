import { expect } from 'chai';
import { ListenQueueGuard } from './listenQueueGuard.ts';

describe('ListenQueueGuard', () => {
  let guard: ListenQueueGuard;

  beforeEach(() => {
    guard = new ListenQueueGuard({ minSilenceMs: 500, minGone: 2, recentMs: 300 });
    guard.endTurn(true, 0);
    guard.noteGone();
    guard.noteGone();
  });

  describe('when all callers in a row have left', () => {
    it('reports the queue as abandoned after the silence, and begins anew', () => {
      expect(guard.endTurn(true, 499)).to.equal(false);
      expect(guard.endTurn(true, 500)).to.equal(true);
      expect(guard.endTurn(true, 1000)).to.equal(false);
    });

    it('tells for a while that it was abandoned', () => {
      expect(guard.wasAbandoned(499)).to.equal(false);
      guard.endTurn(true, 500);
      expect(guard.wasAbandoned(799)).to.equal(true);
      expect(guard.wasAbandoned(800)).to.equal(false);
    });

    it('does not report an empty queue', () => {
      expect(guard.endTurn(false, 500)).to.equal(false);
      expect(guard.silenceMs(501)).to.equal(0);
    });
  });

  describe('when a caller has waited for its turn', () => {
    it('counts silence and callers anew', () => {
      guard.noteHandled(400);
      guard.noteGone();
      expect(guard.endTurn(true, 900)).to.equal(false);
      guard.noteGone();
      expect(guard.endTurn(true, 899)).to.equal(false);
      expect(guard.endTurn(true, 900)).to.equal(true);
    });
  });
});
