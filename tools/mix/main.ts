import fc from 'fast-check';
import { FRAME_FAULTS, runWithFaults, SWEEP_SESSION } from '../../scenario/sweep/mod.ts';
import type { FrameFaultName } from '../../scenario/sweep/mod.ts';

const FAULTS = Object.keys(FRAME_FAULTS) as FrameFaultName[];

const [runs = '2000', seed = '1'] = process.argv.slice(2);

/** Runs random combinations of faults; prints the seed and path that reproduce a failure. */
async function main(): Promise<boolean> {
  const { frames } = await runWithFaults(SWEEP_SESSION, []);
  const fault = fc.record({
    fault: fc.constantFrom(...FAULTS),
    frame: fc.integer({ min: 1, max: frames }),
  });
  const property = fc.asyncProperty(
    fc.array(fault, { minLength: 2, maxLength: 4 }),
    fc.integer({ min: 1, max: 1000 }),
    async (faults, sessionSeed) => {
      const { violations } = await runWithFaults(SWEEP_SESSION, faults, sessionSeed);
      if (violations.length > 0) throw new Error(violations.join('; '));
    },
  );
  const details = await fc.check(property, { seed: Number(seed), numRuns: Number(runs) });
  const report = details.failed ? fc.defaultReportMessage(details) : 'no invariant was violated';
  process.stdout.write(`${details.numRuns} sessions, seed ${details.seed}: ${report}\n`);
  return !details.failed;
}

process.exitCode = (await main()) ? 0 : 1;
