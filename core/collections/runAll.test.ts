import { expect } from 'chai';
import { runAll } from './mod.ts';

describe('runAll', () => {
  it('handles the items after one that throws, and throws its error at the end', () => {
    const handled: number[] = [];
    const run = (): void =>
      runAll([1, 2, 3, 4], (item) => {
        if (item % 2 === 0) throw new Error(`item ${item}`);
        handled.push(item);
      });
    expect(run).to.throw('item 2');
    expect(handled).to.deep.equal([1, 3]);
  });

  it('throws nothing if no item does', () => {
    expect(() => runAll([1, 2], () => undefined)).to.not.throw();
  });
});
