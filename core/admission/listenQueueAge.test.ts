import { expect } from 'chai';
import { ListenQueueAge } from './listenQueueAge.ts';

describe('ListenQueueAge', () => {
  let age: ListenQueueAge<string>;

  beforeEach(() => {
    age = new ListenQueueAge({ maxAgeMs: 50, freshAgeMs: 10 });
  });

  it('tells how long the first marker has waited', () => {
    expect(age.leastAgeMs(5)).to.equal(0);
    age.noteJoined('a', 5);
    age.noteJoined('b', 15);
    expect(age.leastAgeMs(25)).to.equal(20);
    expect(age.noteLeft('a', 25)).to.equal(20);
    expect(age.leastAgeMs(25)).to.equal(10);
    expect(age.noteLeft('a', 25)).to.equal(undefined);
  });

  it('is stale from the longest wait on until fresh connections are next', () => {
    ['a', 'b', 'c'].forEach((marker, index) => age.noteJoined(marker, index * 25));
    expect(age.isStale(49)).to.equal(false);
    expect(age.isStale(50)).to.equal(true);
    age.noteLeft('a', 55);
    expect(age.isStale(55)).to.equal(true);
    age.noteLeft('b', 56);
    expect(age.isStale(56)).to.equal(false);
  });
});
