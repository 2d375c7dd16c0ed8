import { expect } from 'chai';
import fc from 'fast-check';
import { FRAME_FAULTS } from './frameFaults.ts';
import type { FrameFaultName } from './frameFaults.ts';
import { runWithFaults } from './runWithFaults.ts';
import type { FaultAtFrame } from './runWithFaults.ts';
import { SWEEP_SESSION } from './sweepSession.ts';

const FAULTS = Object.keys(FRAME_FAULTS) as FrameFaultName[];

/** Seed of the random combinations; a failure prints it with the path that reproduces it. */
const SEED = 20_261_203;

const RANDOM_RUNS = 150;

async function violationsWith(faults: readonly FaultAtFrame[]): Promise<readonly string[]> {
  const { violations } = await runWithFaults(SWEEP_SESSION, faults);
  return violations.map((violation) => `${JSON.stringify(faults)}: ${violation}`);
}

describe('runWithFaults', () => {
  let frames = 0;

  before(async () => {
    const run = await runWithFaults(SWEEP_SESSION, []);
    frames = run.frames;
    expect(run.violations).to.deep.equal([]);
    expect(new Set(run.outcomes.values())).to.deep.equal(new Set(['done']));
  });

  FAULTS.forEach((fault) => {
    it(`keeps every invariant with "${fault}" at each frame`, async () => {
      const violations: string[] = [];
      for (let frame = 1; frame <= frames; frame += 1) {
        violations.push(...(await violationsWith([{ fault, frame }])));
      }
      expect(violations).to.deep.equal([]);
    }).timeout(600_000);
  });

  it('keeps every invariant with random combinations of faults', async () => {
    const fault = fc.record({
      fault: fc.constantFrom(...FAULTS),
      frame: fc.integer({ min: 1, max: frames }),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(fault, { minLength: 2, maxLength: 3 }), async (faults) => {
        expect(await violationsWith(faults)).to.deep.equal([]);
      }),
      { seed: SEED, numRuns: RANDOM_RUNS },
    );
  }).timeout(600_000);
});
