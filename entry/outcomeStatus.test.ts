import { expect } from 'chai';
import { DONE, failed, notRun, unknown } from '../core/outcome/mod.ts';
import { outcomeHeaders } from './outcomeStatus.ts';

describe('outcomeHeaders', () => {
  it('sets Retry-After for an unknown outcome', () => {
    const headers = outcomeHeaders(unknown('link-lost', 'the link was lost'));
    expect(headers).to.deep.equal({ 'Hyssopspread-Outcome': 'unknown', 'Retry-After': '1' });
  });

  it('rounds the retry delay of a request that did not run up to whole seconds', () => {
    const headers = outcomeHeaders(notRun('overloaded', 'full', 1200));
    expect(headers).to.deep.equal({ 'Hyssopspread-Outcome': 'not-run', 'Retry-After': '2' });
  });

  it('omits Retry-After where a retry does not help', () => {
    for (const outcome of [DONE, failed('backend-error', ''), notRun('not-found', '')]) {
      expect(outcomeHeaders(outcome)).not.to.have.property('Retry-After');
    }
  });
});
