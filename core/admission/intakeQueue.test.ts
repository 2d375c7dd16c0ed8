import { expect } from 'chai';
import { IntakeQueue } from './intakeQueue.ts';

describe('IntakeQueue', () => {
  let queue: IntakeQueue<string>;

  function takeAll(): readonly string[] {
    const taken: string[] = [];
    for (let next = queue.take(); next !== undefined; next = queue.take()) taken.push(next);
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

  it('yields nothing while connections are accepted, for a bounded number of turns', () => {
    queue = new IntakeQueue({ maxPostponedTurns: 3 });
    queue.add('a', 0);
    queue.endTurn(true);
    const taken = [1, 2, 3, 4].map(() => {
      queue.add('more', 0);
      queue.endTurn(true);
      return takeAll();
    });
    expect(taken).to.deep.equal([[], [], ['a'], []]);
    queue.endTurn(false);
    expect(takeAll()).to.deep.equal(['more']);
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
