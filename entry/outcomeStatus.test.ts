import { expect } from 'chai';
import { DONE, failed, notRun, unknown } from '../core/outcome/mod.ts';
import { outcomeHeaders } from './outcomeStatus.ts';

describe('outcomeHeaders', () => {
  it('tells when to come back after an outcome that was given up on', () => {
    const headers = outcomeHeaders(unknown('link-lost', 'the link was lost'));
    expect(headers).to.deep.equal({ 'Hyssopspread-Outcome': 'unknown', 'Retry-After': '1' });
  });

  it('rounds the wait of a request that did not run up to seconds', () => {
    const headers = outcomeHeaders(notRun('overloaded', 'full', 1200));
    expect(headers).to.deep.equal({ 'Hyssopspread-Outcome': 'not-run', 'Retry-After': '2' });
  });

  it('names no time where asking again is of no use', () => {
    for (const outcome of [DONE, failed('backend-error', ''), notRun('not-found', '')]) {
      expect(outcomeHeaders(outcome)).not.to.have.property('Retry-After');
    }
  });
});
