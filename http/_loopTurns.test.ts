import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect } from 'chai';
import { LoopTurns } from './_loopTurns.ts';

describe('LoopTurns', () => {
  it('counts the turns in a row in which a connection was accepted', async () => {
    const turns = new LoopTurns();
    const counts: number[] = [];
    for (const isAccepting of [true, true, true, false, true]) {
      if (isAccepting) turns.noteAccepted();
      else turns.noteEvent();
      await nextTurn();
      counts.push(turns.acceptRun);
    }
    turns.close();
    expect(counts).to.deep.equal([1, 2, 3, 0, 1]);
  });

  it('knows when sockets were read once it has observed a whole turn', async () => {
    let hasWork = true;
    const turns = new LoopTurns({ hasWork: () => hasWork });
    turns.noteEvent();
    await nextTurn();
    expect(turns.readAt).to.equal(-Infinity);
    const firstTurnEndedBy = performance.now();
    await nextTurn();
    expect(turns.readAt).to.be.at.most(firstTurnEndedBy);
    hasWork = false;
    turns.close();
  });

  it('ends a row in a turn without any event', async () => {
    const turns = new LoopTurns();
    turns.noteAccepted();
    await nextTurn();
    await nextTurn();
    expect(turns.acceptRun).to.equal(0);
    turns.close();
  });
});
