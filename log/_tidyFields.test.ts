import { expect } from 'chai';
import { tidyFields } from './_tidyFields.ts';

describe('tidyFields', () => {
  it('removes undefined fields and rounds fractions', () => {
    const fields = { reason: undefined, silentMs: 826.0684090000004, share: 0.25, count: 3, a: '' };
    expect(tidyFields(fields)).to.deep.equal({ silentMs: 826.068, share: 0.25, count: 3, a: '' });
  });
});
