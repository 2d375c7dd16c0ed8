import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';
import type { Plugin } from 'esbuild';
import { inject } from 'postject';
import { selectLibraryModules } from './libraryModules.ts';
import { SERVING_FLAGS } from './servingFlags.ts';

const BUNDLE = 'dist/hyssopspread.cjs';
const SERVING_BUNDLE = 'target/serving.cjs';
const SERVING_LOADER = 'target/hyssopspread.cjs';
const SERVING_CODE_CACHE = 'target/serving.code';
const EXECUTABLE = 'dist/hyssopspread';
const SEA_BLOB = 'dist/hyssopspread.blob';
const SEA_CONFIGURATION = 'dist/sea-config.json';
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

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
    plugins: [selectLibraryModules, omitNativeModules],
  });
}

/**
 * Bundles the processes that run on the users' platform, without code that only tools and tests
 * need, and writes V8's code cache. V8 rejects a code cache that was made under other flags.
 */
async function bundleServing(): Promise<void> {
  await bundleForNode('programs/serving/main.ts', SERVING_BUNDLE);
  await bundleForNode('programs/serving/loader.ts', SERVING_LOADER);
  rmSync(SERVING_CODE_CACHE, { force: true });
  execFileSync(process.execPath, [...SERVING_FLAGS, SERVING_LOADER, '--write-compiled-code'], {
    stdio: 'ignore',
  });
}

async function bundle(): Promise<void> {
  await build({
    entryPoints: ['cli/main.ts'],
    outfile: BUNDLE,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'warning',
    plugins: [omitNativeModules],
  });
}

/** Builds a single executable application from the bundle and the running Node.js binary. */
async function buildExecutable(): Promise<void> {
  const { readFile, chmod } = await import('node:fs/promises');
  writeFileSync(
    SEA_CONFIGURATION,
    JSON.stringify({ main: BUNDLE, output: SEA_BLOB, disableExperimentalSEAWarning: true }),
  );
  execFileSync(process.execPath, ['--experimental-sea-config', SEA_CONFIGURATION], {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  copyFileSync(process.execPath, EXECUTABLE);
  await inject(EXECUTABLE, 'NODE_SEA_BLOB', await readFile(SEA_BLOB), { sentinelFuse: SEA_FUSE });
  await chmod(EXECUTABLE, 0o755);
}

async function main(): Promise<void> {
  if (process.argv.includes('--serving')) {
    await bundleServing();
    return;
  }
  mkdirSync('dist', { recursive: true });
  await bundle();
  if (!process.argv.includes('--bundle-only')) await buildExecutable();
}

main().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
