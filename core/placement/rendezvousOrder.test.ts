import { expect } from 'chai';
import { rendezvousOrder, weightedRendezvousOrder } from './mod.ts';

const KEYS = Array.from({ length: 4000 }, (_, index) => `key${index}`);

describe('weightedRendezvousOrder', () => {
  it('gives each candidate a share of the keys in proportion to its weight', () => {
    const candidates = [
      { name: 'a', weight: 1 },
      { name: 'b', weight: 3 },
    ];
    const wins = KEYS.filter((key) => weightedRendezvousOrder(key, candidates)[0] === 'b').length;
    expect(wins / KEYS.length).to.be.within(0.71, 0.79);
  });

  it('moves only the keys of a removed candidate', () => {
    const candidates = ['a', 'b', 'c'].map((name) => ({ name, weight: 2 }));
    const without = candidates.filter(({ name }) => name !== 'c');
    KEYS.slice(0, 500).forEach((key) => {
      const first = weightedRendezvousOrder(key, candidates)[0];
      if (first !== 'c') expect(weightedRendezvousOrder(key, without)[0]).to.equal(first);
    });
  });
});

describe('rendezvousOrder', () => {
  it('does not depend on the order of the candidates', () => {
    expect(rendezvousOrder('k', ['a', 'b', 'c'])).to.deep.equal(
      rendezvousOrder('k', ['c', 'a', 'b']),
    );
  });
});
