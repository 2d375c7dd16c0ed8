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
    queue.endTurn();
    expect(takeAll()).to.deep.equal([]);
    queue.add('b', 1);
    queue.endTurn();
    expect(takeAll()).to.deep.equal(['a']);
    queue.endTurn();
    expect(takeAll()).to.deep.equal(['b']);
  });

  it('does not yield a request that was removed in between', () => {
    queue.add('a', 0);
    queue.add('b', 0);
    queue.endTurn();
    expect(queue.remove('a')).to.equal(true);
    queue.endTurn();
    expect(takeAll()).to.deep.equal(['b']);
    expect(queue.remove('b')).to.equal(false);
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
