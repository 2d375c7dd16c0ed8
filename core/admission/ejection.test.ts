import { expect } from 'chai';
import { DONE, failed, notRun } from '../outcome/mod.ts';
import { Ejection } from './ejection.ts';

const FAILED = failed('backend-error', 'status 500');

function failTimes(ejection: Ejection, host: string, times: number, now: number): void {
  for (let time = 0; time < times; time += 1) ejection.note(host, FAILED, now);
}

function createEjection(): Ejection {
  const ejection = new Ejection();
  ['a', 'b', 'c', 'd'].forEach((host) => ejection.note(host, DONE, 0));
  return ejection;
}

describe('Ejection', () => {
  describe('note', () => {
    it('ejects a host after five failures in a row and takes it back after a time', () => {
      const ejection = createEjection();
      failTimes(ejection, 'a', 4, 0);
      expect(ejection.isEjected('a', 0)).to.equal(false);
      failTimes(ejection, 'a', 1, 0);
      expect(ejection.isEjected('a', 1999)).to.equal(true);
      expect(ejection.isEjected('a', 2000)).to.equal(false);
    });

    it('ejects for twice as long at the next failure and forgets after a success', () => {
      const ejection = createEjection();
      failTimes(ejection, 'a', 5, 0);
      failTimes(ejection, 'a', 1, 2000);
      expect(ejection.isEjected('a', 5999)).to.equal(true);
      ejection.note('a', DONE, 6000);
      failTimes(ejection, 'a', 4, 6000);
      expect(ejection.isEjected('a', 6000)).to.equal(false);
    });

    it('does not count refusals, and leaves half of the hosts', () => {
      const ejection = createEjection();
      const refusal = notRun('overloaded', 'ask again', 500);
      for (let time = 0; time < 9; time += 1) ejection.note('d', refusal, 0);
      ['a', 'b', 'c'].forEach((host) => failTimes(ejection, host, 5, 0));
      const ejected = ['a', 'b', 'c', 'd'].filter((host) => ejection.isEjected(host, 1));
      expect(ejected).to.deep.equal(['a', 'b']);
    });
  });
});
