import { expect } from 'chai';
import fc from 'fast-check';
import { nextStep } from './mod.ts';
import type { RequestHistory, AttemptOutcome } from './mod.ts';

const FIRST: RequestHistory = {
  repeatability: 'once',
  mayHaveRunCount: 0,
  notRunCount: 0,
  maxAttempts: 2,
  isPastDeadline: false,
};

describe('nextStep', () => {
  it('never retries a run-once request that may have run', () => {
    const outcomes = fc.constantFrom<AttemptOutcome>('unknown', 'failed');
    fc.assert(
      fc.property(
        outcomes,
        fc.nat(5),
        fc.nat(5),
        fc.boolean(),
        (outcome, ran, notRun, isPastDeadline) => {
          const history = {
            ...FIRST,
            mayHaveRunCount: ran + 1,
            notRunCount: notRun,
            isPastDeadline,
          };
          expect(nextStep(outcome, history)).to.not.equal('again');
        },
      ),
      { seed: 5 },
    );
  });

  it('never refuses a run-once request that may have run as not run', () => {
    const outcomes = fc.constantFrom<AttemptOutcome>('unknown', 'failed', 'not-run', 'not-sent');
    fc.assert(
      fc.property(outcomes, fc.nat(5), fc.boolean(), (outcome, notRun, isPastDeadline) => {
        const history = { ...FIRST, mayHaveRunCount: 1, notRunCount: notRun, isPastDeadline };
        expect(nextStep(outcome, history)).to.not.equal('refuse');
      }),
      { seed: 6 },
    );
  });

  it('retries a request that did not run, up to a limit', () => {
    expect(nextStep('not-run', { ...FIRST, notRunCount: 1 })).to.equal('again');
    expect(nextStep('not-sent', { ...FIRST, notRunCount: 2 })).to.equal('again');
    expect(nextStep('not-run', { ...FIRST, notRunCount: 3 })).to.equal('refuse');
  });

  it('retries a repeatable request only as often as its route allows', () => {
    const repeatable: RequestHistory = { ...FIRST, repeatability: 'repeatable' };
    expect(nextStep('failed', { ...repeatable, mayHaveRunCount: 1 })).to.equal('again');
    expect(nextStep('failed', { ...repeatable, mayHaveRunCount: 2 })).to.equal('pass-on');
    expect(nextStep('unknown', { ...repeatable, mayHaveRunCount: 2 })).to.equal('unknown');
  });

  it('does not retry after the deadline', () => {
    const late: RequestHistory = { ...FIRST, repeatability: 'repeatable', isPastDeadline: true };
    expect(nextStep('not-run', { ...late, notRunCount: 1 })).to.equal('refuse');
    expect(nextStep('unknown', { ...late, mayHaveRunCount: 1 })).to.equal('unknown');
  });
});
