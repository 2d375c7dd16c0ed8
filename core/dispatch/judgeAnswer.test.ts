import { expect } from 'chai';
import { judgeAnswer } from './mod.ts';
import type { AttemptedRequest, AnswerSigns } from './mod.ts';

const GOOD: AnswerSigns = {
  status: 200,
  requestId: 'r1',
  hasProof: true,
  isNotRun: false,
  isEncoded: false,
};

const ONCE: AttemptedRequest = {
  requestId: 'r1',
  repeatability: 'once',
  mayHaveRun: 0,
  maxAttempts: 2,
};

const SAFE: AttemptedRequest = { ...ONCE, repeatability: 'repeatable' };

describe('classifyResponse', () => {
  it('forwards a success with proof', () => {
    expect(judgeAnswer(GOOD, ONCE)).to.equal('pass-on');
  });

  it('rejects a response that names another request, carries no proof or is encoded', () => {
    expect(judgeAnswer({ ...GOOD, requestId: 'r2' }, ONCE)).to.equal('foreign');
    expect(judgeAnswer({ ...GOOD, hasProof: false }, ONCE)).to.equal('foreign');
    expect(judgeAnswer({ ...GOOD, isEncoded: true }, ONCE)).to.equal('foreign');
  });

  it('accepts "not run" only if the server states it', () => {
    const busy = { ...GOOD, status: 503 };
    expect(judgeAnswer({ ...busy, isNotRun: true }, ONCE)).to.equal('not-run');
    expect(judgeAnswer(busy, ONCE)).to.equal('unknown');
    expect(judgeAnswer({ ...GOOD, status: 421, hasProof: false }, ONCE)).to.equal('not-run');
  });

  it('forwards a server error unless the request may be retried', () => {
    const failure = { ...GOOD, status: 500 };
    expect(judgeAnswer(failure, ONCE)).to.equal('pass-on');
    expect(judgeAnswer(failure, SAFE)).to.equal('failed');
    expect(judgeAnswer(failure, { ...SAFE, mayHaveRun: 1 })).to.equal('pass-on');
  });

  it('forwards a client error', () => {
    expect(judgeAnswer({ ...GOOD, status: 400 }, SAFE)).to.equal('pass-on');
  });
});
