import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { build } from 'esbuild';
import { bundleCommandLine, bundleServing } from './bundle.ts';
import { replaceAssert } from './plainAssert.ts';

const NODE_ASSERT = /require\("(node:)?assert(\/strict)?"\)/;

type Check = (value: unknown, message?: unknown) => void;

type Assert = Check & {
  readonly strictEqual: (actual: unknown, expected: unknown) => void;
  readonly notStrictEqual: (actual: unknown, expected: unknown) => void;
};

describe('replaceAssert', () => {
  let directory: string;

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'hyssopspread-'));
  });

  afterEach(() => rmSync(directory, { recursive: true }));

  async function bundleAssert(): Promise<Assert> {
    const source = join(directory, 'source.js');
    const outfile = join(directory, 'out.cjs');
    writeFileSync(source, "module.exports = require('node:assert');");
    const options = { bundle: true, platform: 'node', format: 'cjs' } as const;
    await build({ entryPoints: [source], outfile, plugins: [replaceAssert], ...options });
    return createRequire(import.meta.url)(outfile) as Assert;
  }

  describe('in a bundle', () => {
    // Guards against assertions that read and parse the bundle to word their error.
    it('leaves no import of the module that it replaces', async () => {
      await bundleServing(directory);
      await bundleCommandLine(join(directory, 'command.cjs'));
      ['serving.cjs', 'command.cjs'].forEach((file) =>
        expect(readFileSync(join(directory, file), 'utf8')).to.not.match(NODE_ASSERT),
      );
    });
  });

  describe('with a condition that does not hold', () => {
    it('throws an assertion error with the message, or one that it is given', async () => {
      const assert = await bundleAssert();
      expect(() => assert(false))
        .to.throw()
        .that.includes({ name: 'AssertionError' });
      expect(() => assert(0, 'zero'))
        .to.throw('zero')
        .that.includes({ code: 'ERR_ASSERTION' });
      expect(() => assert(null, new TypeError('own'))).to.throw(TypeError, 'own');
      expect(() => assert.strictEqual(1, 2)).to.throw('assertion failed');
      expect(() => assert.notStrictEqual(1, 1)).to.throw('assertion failed');
    });
  });

  describe('with a condition that holds', () => {
    it('throws nothing', async () => {
      const assert = await bundleAssert();
      expect(() => {
        assert(true);
        assert.strictEqual(1, 1);
        assert.notStrictEqual(1, 2);
      }).to.not.throw();
    });
  });
});
