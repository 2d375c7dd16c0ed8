import { expect } from 'chai';
import { classifyResponse } from './mod.ts';
import type { AttemptedRequest, ResponseHead } from './mod.ts';

const GOOD: ResponseHead = {
  status: 200,
  requestId: 'r1',
  hasProof: true,
  isNotRun: false,
  isEncoded: false,
};

const ONCE: AttemptedRequest = {
  requestId: 'r1',
  repeatability: 'once',
  mayHaveRunCount: 0,
  maxAttempts: 2,
};

const REPEATABLE: AttemptedRequest = { ...ONCE, repeatability: 'repeatable' };

describe('classifyResponse', () => {
  it('forwards a success with proof', () => {
    expect(classifyResponse(GOOD, ONCE)).to.equal('pass-on');
  });

  it('rejects a response that names another request, carries no proof or is encoded', () => {
    expect(classifyResponse({ ...GOOD, requestId: 'r2' }, ONCE)).to.equal('foreign');
    expect(classifyResponse({ ...GOOD, hasProof: false }, ONCE)).to.equal('foreign');
    expect(classifyResponse({ ...GOOD, isEncoded: true }, ONCE)).to.equal('foreign');
  });

  it('rejects a response that names no request, whatever it says, if the request has an id', () => {
    const anonymous: ResponseHead = {
      status: 200,
      hasProof: true,
      isNotRun: false,
      isEncoded: false,
    };
    [{}, { isNotRun: true, status: 503 }, { status: 421 }, { status: 400 }].forEach((changes) =>
      expect(classifyResponse({ ...anonymous, ...changes }, ONCE)).to.equal('foreign'),
    );
    expect(classifyResponse(anonymous, { ...ONCE, requestId: '' })).to.equal('pass-on');
  });

  it('accepts "not run" only if the server states it', () => {
    const busy = { ...GOOD, status: 503 };
    expect(classifyResponse({ ...busy, isNotRun: true }, ONCE)).to.equal('not-run');
    expect(classifyResponse(busy, ONCE)).to.equal('unknown');
    expect(classifyResponse({ ...GOOD, status: 421, hasProof: false }, ONCE)).to.equal('not-run');
  });

  it('forwards a server error unless the request may be retried', () => {
    const failure = { ...GOOD, status: 500 };
    expect(classifyResponse(failure, ONCE)).to.equal('pass-on');
    expect(classifyResponse(failure, REPEATABLE)).to.equal('failed');
    expect(classifyResponse(failure, { ...REPEATABLE, mayHaveRunCount: 1 })).to.equal('pass-on');
  });

  it('forwards a client error', () => {
    expect(classifyResponse({ ...GOOD, status: 400 }, REPEATABLE)).to.equal('pass-on');
  });
});
