/**
 * Starts the serving processes from a V8 code cache that the build writes.
 *
 * Compilation takes about half of the startup time. V8 accepts the cache only if the version and the flags
 * of Node.js match those of the build; otherwise the code is compiled again.
 *
 * @module
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { createRequire, wrap } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';
import { COMPILED_CODE_VARIABLE } from './compiledCode.ts';
import type { CodeCacheStatus } from './compiledCode.ts';

const BUNDLE = join(__dirname, 'serving.cjs');

const CODE_CACHE = join(__dirname, 'serving.code');

/** The argument with which the build requests that the code cache is written. */
const WRITE_CODE_CACHE_ARGUMENT = '--write-compiled-code';

type ModuleWrapper = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: object },
  filename: string,
  directory: string,
) => void;

function compile(): { readonly script: Script; readonly code: CodeCacheStatus } {
  const source = wrap(readFileSync(BUNDLE, 'utf8'));
  if (!existsSync(CODE_CACHE)) {
    return { script: new Script(source, { filename: BUNDLE }), code: 'none' };
  }
  const cachedData = readFileSync(CODE_CACHE);
  const script = new Script(source, { filename: BUNDLE, cachedData });
  return { script, code: script.cachedDataRejected === true ? 'rejected' : 'reused' };
}

function run(script: Script): void {
  const module = { exports: {} };
  const moduleWrapper = script.runInThisContext() as ModuleWrapper;
  moduleWrapper(module.exports, createRequire(BUNDLE), module, BUNDLE, __dirname);
}

// A SIGHUP that arrives before the bundle installs its handler must not end the process.
process.on('SIGHUP', () => undefined);

const { script, code } = compile();
process.env[COMPILED_CODE_VARIABLE] = code;
run(script);
// All modules have been evaluated by now, so the cache includes functions compiled lazily on first call.
if (process.argv[2] === WRITE_CODE_CACHE_ARGUMENT) {
  writeFileSync(CODE_CACHE, script.createCachedData());
  // The argument is not a role, so the bundle has set an exit code for wrong usage.
  process.exitCode = 0;
}
