import { expect } from 'chai';
import { IntakeQueue } from './intakeQueue.ts';

describe('IntakeQueue', () => {
  let queue: IntakeQueue<string>;

  function takeAll(now = 0): readonly string[] {
    const taken: string[] = [];
    for (let next = queue.take(now); next !== undefined; next = queue.take(now)) taken.push(next);
    return taken;
  }

  beforeEach(() => {
    queue = new IntakeQueue();
  });

  it('yields a request only after a turn that followed the one that read it', () => {
    queue.add('a', 0);
    queue.endTurn(false);
    expect(takeAll()).to.deep.equal([]);
    queue.add('b', 1);
    queue.endTurn(false);
    expect(takeAll()).to.deep.equal(['a']);
    queue.endTurn(false);
    expect(takeAll()).to.deep.equal(['b']);
  });

  it('does not yield a request that was removed in between', () => {
    queue.add('a', 0);
    queue.add('b', 0);
    queue.endTurn(false);
    expect(queue.remove('a')).to.equal(true);
    queue.endTurn(false);
    expect(takeAll()).to.deep.equal(['b']);
    expect(queue.remove('b')).to.equal(false);
  });

  it('yields nothing while connections are accepted, for a bounded time', () => {
    queue = new IntakeQueue({ maxPostponementMs: 30 });
    queue.add('a', 0);
    queue.endTurn(true);
    const taken = [10, 20, 30, 40].map((now) => {
      queue.add('more', now);
      queue.endTurn(true);
      return takeAll(now);
    });
    expect(taken).to.deep.equal([[], [], ['a'], []]);
    queue.endTurn(false);
    expect(takeAll(40)).to.deep.equal(['more']);
  });

  it('is overdue once its oldest request has waited for long', () => {
    queue = new IntakeQueue({ maxWaitMs: 50 });
    expect(queue.isOverdue(1000)).to.equal(false);
    queue.add('a', 0);
    expect(queue.isOverdue(49)).to.equal(false);
    expect(queue.isOverdue(50)).to.equal(true);
  });

  it('tells how long its oldest request has waited', () => {
    expect(queue.oldestWaitMs(50)).to.equal(0);
    queue.add('a', 10);
    queue.add('b', 40);
    expect(queue.oldestWaitMs(50)).to.equal(40);
    queue.remove('a');
    expect(queue.oldestWaitMs(50)).to.equal(10);
  });
});
