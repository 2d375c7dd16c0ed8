/**
 * Starts the serving processes with the code that V8 compiled when they were built.
 *
 * Compiling takes about half of a process's start; the code is used only where version and flags of
 * Node.js are those of the build, else it is compiled anew.
 *
 * @module
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { createRequire, wrap } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';
import { COMPILED_CODE_VARIABLE } from './compiledCode.ts';
import type { CompiledCode } from './compiledCode.ts';

const BUNDLE = join(__dirname, 'serving.cjs');

const COMPILED = join(__dirname, 'serving.code');

/** The argument with which the build lets the compiled code be written. */
const WRITE_ARGUMENT = '--write-compiled-code';

type Wrapped = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: object },
  filename: string,
  directory: string,
) => void;

function compile(): { readonly script: Script; readonly code: CompiledCode } {
  const source = wrap(readFileSync(BUNDLE, 'utf8'));
  if (!existsSync(COMPILED)) {
    return { script: new Script(source, { filename: BUNDLE }), code: 'none' };
  }
  const cachedData = readFileSync(COMPILED);
  const script = new Script(source, { filename: BUNDLE, cachedData });
  return { script, code: script.cachedDataRejected === true ? 'rejected' : 'reused' };
}

function run(script: Script): void {
  const module = { exports: {} };
  const wrapped = script.runInThisContext() as Wrapped;
  wrapped(module.exports, createRequire(BUNDLE), module, BUNDLE, __dirname);
}

// A signal that comes before the process can read its settings must not end it; it reads them later.
process.on('SIGHUP', () => undefined);

const { script, code } = compile();
process.env[COMPILED_CODE_VARIABLE] = code;
run(script);
// By now all modules have been evaluated, and what they needed is compiled.
if (process.argv[2] === WRITE_ARGUMENT) {
  writeFileSync(COMPILED, script.createCachedData());
  // The process has complained about a role that is none.
  process.exitCode = 0;
}
