import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';
import type { Plugin } from 'esbuild';
import { inject } from 'postject';
import { takeLibraryParts } from './libraryParts.ts';
import { SERVING_FLAGS } from './servingFlags.ts';

const BUNDLE = 'dist/hyssopspread.cjs';
const SERVING_BUNDLE = 'target/serving.cjs';
const SERVING_LOADER = 'target/hyssopspread.cjs';
const SERVING_CODE = 'target/serving.code';
const BINARY = 'dist/hyssopspread';
const BLOB = 'dist/hyssopspread.blob';
const CONFIGURATION = 'dist/sea-config.json';
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

/** Makes the libraries' optional native parts throw on loading, which the libraries expect. */
const leaveOutNativeParts: Plugin = {
  name: 'leave-out-native-parts',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: /^(msgpackr-extract|bufferutil|utf-8-validate)$/ }, ({ path }) => ({
      path,
      namespace: 'left-out',
    }));
    onLoad({ filter: /.*/, namespace: 'left-out' }, () => ({
      contents: 'throw new Error("this optional part is left out of the bundle");',
    }));
  },
};

async function bundleForNode(from: string, to: string): Promise<void> {
  await build({
    entryPoints: [from],
    outfile: to,
    bundle: true,
    minify: true,
    keepNames: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'warning',
    plugins: [takeLibraryParts, leaveOutNativeParts],
  });
}

/**
 * Bundles the processes that run on the users' platform, without what only tools and tests need, and
 * compiles them ahead. V8 takes compiled code only under the flags that it was compiled with.
 */
async function bundleServing(): Promise<void> {
  await bundleForNode('programs/serving/main.ts', SERVING_BUNDLE);
  await bundleForNode('programs/serving/loader.ts', SERVING_LOADER);
  rmSync(SERVING_CODE, { force: true });
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
    plugins: [leaveOutNativeParts],
  });
}

/** Makes a single executable application of the bundle and this Node.js. */
async function makeBinary(): Promise<void> {
  const { readFile, chmod } = await import('node:fs/promises');
  writeFileSync(
    CONFIGURATION,
    JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true }),
  );
  execFileSync(process.execPath, ['--experimental-sea-config', CONFIGURATION], {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  copyFileSync(process.execPath, BINARY);
  await inject(BINARY, 'NODE_SEA_BLOB', await readFile(BLOB), { sentinelFuse: FUSE });
  await chmod(BINARY, 0o755);
}

async function main(): Promise<void> {
  if (process.argv.includes('--serving')) {
    await bundleServing();
    return;
  }
  mkdirSync('dist', { recursive: true });
  await bundle();
  if (!process.argv.includes('--bundle-only')) await makeBinary();
}

main().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
