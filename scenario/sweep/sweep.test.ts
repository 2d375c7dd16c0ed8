import { expect } from 'chai';
import fc from 'fast-check';
import { FRAME_FAULTS } from './frameFaults.ts';
import type { FrameFaultName } from './frameFaults.ts';
import { runWithFaults } from './runWithFaults.ts';
import type { FaultAtFrame } from './runWithFaults.ts';
import { SWEEP_SESSION } from './sweepSession.ts';

const FAULTS = Object.keys(FRAME_FAULTS) as FrameFaultName[];

/** The seed of the random mix; a failure prints it with the path that replays it. */
const SEED = 20_261_203;

const MIXES = 150;

async function brokenBy(faults: readonly FaultAtFrame[]): Promise<readonly string[]> {
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
    it(`keeps every promise with "${fault}" at each frame`, async () => {
      const broken: string[] = [];
      for (let frame = 1; frame <= frames; frame += 1) {
        broken.push(...(await brokenBy([{ fault, frame }])));
      }
      expect(broken).to.deep.equal([]);
    }).timeout(600_000);
  });

  it('keeps every promise with a random mix of faults', async () => {
    const fault = fc.record({
      fault: fc.constantFrom(...FAULTS),
      frame: fc.integer({ min: 1, max: frames }),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(fault, { minLength: 2, maxLength: 3 }), async (faults) => {
        expect(await brokenBy(faults)).to.deep.equal([]);
      }),
      { seed: SEED, numRuns: MIXES },
    );
  }).timeout(600_000);
});
