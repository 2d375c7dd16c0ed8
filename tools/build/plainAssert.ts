import type { Plugin } from 'esbuild';

/**
 * Source of a module with the parts of `node:assert` that the bundled libraries use.
 *
 * For an assertion without a message, `node:assert` reads the source of the failing call and parses the
 * file up to it. In a bundle, whose lines are long, that stops the process for seconds.
 */
const PLAIN_ASSERT = `
  class AssertionError extends Error {
    constructor(message) {
      super(message);
      this.name = 'AssertionError';
      this.code = 'ERR_ASSERTION';
    }
  }
  function assert(value, message) {
    if (value) return;
    throw message instanceof Error ? message : new AssertionError(message ?? 'assertion failed');
  }
  assert.ok = assert;
  assert.equal = (actual, expected, message) => assert(actual == expected, message);
  assert.notEqual = (actual, expected, message) => assert(actual != expected, message);
  assert.strictEqual = (actual, expected, message) => assert(Object.is(actual, expected), message);
  assert.notStrictEqual = (actual, expected, message) => assert(!Object.is(actual, expected), message);
  assert.AssertionError = AssertionError;
  module.exports = assert;
`;

/** Replaces `node:assert` by a module whose failures cost no more than any error. */
export const replaceAssert: Plugin = {
  name: 'plain-assert',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: /^(node:)?assert(\/strict)?$/ }, () => ({
      path: 'assert',
      namespace: 'plain-assert',
    }));
    onLoad({ filter: /.*/, namespace: 'plain-assert' }, () => ({ contents: PLAIN_ASSERT }));
  },
};
