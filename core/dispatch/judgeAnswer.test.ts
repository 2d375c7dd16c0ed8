import { expect } from 'chai';
import { judgeAnswer } from './mod.ts';
import type { AnsweredRequest, AnswerSigns } from './mod.ts';

const GOOD: AnswerSigns = {
  status: 200,
  requestId: 'r1',
  hasProof: true,
  isNotRun: false,
  isEncoded: false,
};

const ONCE: AnsweredRequest = {
  requestId: 'r1',
  repeatability: 'once',
  mayHaveRun: 0,
  maxAttempts: 2,
};

const SAFE: AnsweredRequest = { ...ONCE, repeatability: 'repeatable' };

describe('judgeAnswer', () => {
  it('passes on a success with its proof', () => {
    expect(judgeAnswer(GOOD, ONCE)).to.equal('pass-on');
  });

  it('takes no answer that names another request, bears no proof or is encoded', () => {
    expect(judgeAnswer({ ...GOOD, requestId: 'r2' }, ONCE)).to.equal('foreign');
    expect(judgeAnswer({ ...GOOD, hasProof: false }, ONCE)).to.equal('foreign');
    expect(judgeAnswer({ ...GOOD, isEncoded: true }, ONCE)).to.equal('foreign');
  });

  it('believes "not run" only by the word of the server', () => {
    const busy = { ...GOOD, status: 503 };
    expect(judgeAnswer({ ...busy, isNotRun: true }, ONCE)).to.equal('not-run');
    expect(judgeAnswer(busy, ONCE)).to.equal('unknown');
    expect(judgeAnswer({ ...GOOD, status: 421, hasProof: false }, ONCE)).to.equal('not-run');
  });

  it("passes on a server's failure, unless the request may be sent again", () => {
    const failure = { ...GOOD, status: 500 };
    expect(judgeAnswer(failure, ONCE)).to.equal('pass-on');
    expect(judgeAnswer(failure, SAFE)).to.equal('failed');
    expect(judgeAnswer(failure, { ...SAFE, mayHaveRun: 1 })).to.equal('pass-on');
  });

  it("passes on a server's answer that the request is wrong", () => {
    expect(judgeAnswer({ ...GOOD, status: 400 }, SAFE)).to.equal('pass-on');
  });
});
