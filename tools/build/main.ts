import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdirSync, writeFileSync } from 'node:fs';
import { inject } from 'postject';
import { bundleCommandLine, bundleServing } from './bundle.ts';

const BUNDLE = 'dist/hyssopspread.cjs';
const SERVING_DIRECTORY = 'target';
const EXECUTABLE = 'dist/hyssopspread';
const SEA_BLOB = 'dist/hyssopspread.blob';
const SEA_CONFIGURATION = 'dist/sea-config.json';
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

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
    await bundleServing(SERVING_DIRECTORY);
    return;
  }
  mkdirSync('dist', { recursive: true });
  await bundleCommandLine(BUNDLE);
  if (!process.argv.includes('--bundle-only')) await buildExecutable();
}

main().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
