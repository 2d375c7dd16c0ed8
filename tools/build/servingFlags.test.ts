import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import { SERVING_FLAGS } from './servingFlags.ts';

describe('deploy/system.toml', () => {
  it('runs every role with the flags under which its code is compiled', () => {
    const text = readFileSync(new URL('../../deploy/system.toml', import.meta.url), 'utf8');
    const commands = [...text.matchAll(/^run = "node (.*) target\/hyssopspread\.cjs \w+"$/gm)];
    expect(commands.map(([, flags]) => flags)).to.deep.equal([
      SERVING_FLAGS.join(' '),
      SERVING_FLAGS.join(' '),
    ]);
  });
});
