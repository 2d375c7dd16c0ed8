import { expect } from 'chai';
import { DONE, failed, notRun } from '../outcome/mod.ts';
import { OutlierDetector } from './outlierDetector.ts';

const FAILED = failed('backend-error', 'status 500');

function failRepeatedly(detector: OutlierDetector, host: string, times: number, now: number): void {
  for (let count = 0; count < times; count += 1) detector.noteOutcome(host, FAILED, now);
}

function createDetector(): OutlierDetector {
  const detector = new OutlierDetector();
  ['a', 'b', 'c', 'd'].forEach((host) => detector.noteOutcome(host, DONE, 0));
  return detector;
}

describe('OutlierDetector', () => {
  describe('noteOutcome', () => {
    it('ejects a host after five consecutive failures and returns it after two seconds', () => {
      const detector = createDetector();
      failRepeatedly(detector, 'a', 4, 0);
      expect(detector.isEjected('a', 0)).to.equal(false);
      failRepeatedly(detector, 'a', 1, 0);
      expect(detector.isEjected('a', 1999)).to.equal(true);
      expect(detector.isEjected('a', 2000)).to.equal(false);
    });

    it('doubles the ejection at the next failure and resets after a success', () => {
      const detector = createDetector();
      failRepeatedly(detector, 'a', 5, 0);
      failRepeatedly(detector, 'a', 1, 2000);
      expect(detector.isEjected('a', 5999)).to.equal(true);
      detector.noteOutcome('a', DONE, 6000);
      failRepeatedly(detector, 'a', 4, 6000);
      expect(detector.isEjected('a', 6000)).to.equal(false);
    });

    it('ignores refusals and never ejects more than half of the hosts', () => {
      const detector = createDetector();
      const refusal = notRun('overloaded', 'ask again', 500);
      for (let count = 0; count < 9; count += 1) detector.noteOutcome('d', refusal, 0);
      ['a', 'b', 'c'].forEach((host) => failRepeatedly(detector, host, 5, 0));
      const ejected = ['a', 'b', 'c', 'd'].filter((host) => detector.isEjected(host, 1));
      expect(ejected).to.deep.equal(['a', 'b']);
    });
  });
});
