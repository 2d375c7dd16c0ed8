import { execFileSync } from 'node:child_process';
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';
import type { Plugin } from 'esbuild';
import { selectLibraryModules } from './libraryModules.ts';
import { replaceAssert } from './plainAssert.ts';
import { SERVING_FLAGS } from './servingFlags.ts';

/** Makes optional native modules throw on loading; the libraries then use their fallbacks. */
const omitNativeModules: Plugin = {
  name: 'leave-out-native-parts',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: /^(msgpackr-extract|bufferutil|utf-8-validate)$/ }, ({ path }) => ({
      path,
      namespace: 'left-out',
    }));
    onLoad({ filter: /.*/, namespace: 'left-out' }, () => ({
      contents: 'throw new Error("optional native module is not part of the bundle");',
    }));
  },
};

async function bundleForNode(entryPoint: string, outfile: string): Promise<void> {
  await build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    minify: true,
    keepNames: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'warning',
    plugins: [selectLibraryModules, omitNativeModules, replaceAssert],
  });
}

/**
 * Bundles the processes that run on the users' platform, without code that only tools and tests
 * need, and writes V8's code cache. V8 rejects a code cache that was made under other flags.
 *
 * @param directory Where the loader, the bundle and the code cache are written.
 * @returns The path of the loader.
 */
export async function bundleServing(directory: string): Promise<string> {
  const loader = join(directory, 'hyssopspread.cjs');
  await bundleForNode('programs/serving/main.ts', join(directory, 'serving.cjs'));
  await bundleForNode('programs/serving/loader.ts', loader);
  rmSync(join(directory, 'serving.code'), { force: true });
  execFileSync(process.execPath, [...SERVING_FLAGS, loader, '--write-compiled-code'], {
    stdio: 'ignore',
  });
  return loader;
}

/** Bundles the command line program. */
export async function bundleCommandLine(outfile: string): Promise<void> {
  await build({
    entryPoints: ['cli/main.ts'],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'warning',
    plugins: [omitNativeModules, replaceAssert],
  });
}
