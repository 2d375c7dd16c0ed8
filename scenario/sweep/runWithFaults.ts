import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';
import { runScenario } from '../session/mod.ts';
import type { Session } from '../session/mod.ts';
import type { FrameFacts, FrameTreatment } from '../world/mod.ts';
import { FRAME_FAULTS } from './frameFaults.ts';
import type { FrameFault, FrameFaultName } from './frameFaults.ts';

/** A fault and the frame at which it strikes, counted from the session's first request. */
export type FaultAtFrame = { readonly fault: FrameFaultName; readonly frame: number };

/** What a session with faults showed. */
export type FaultRun = {
  /** Frames from the first request to the last one's end. */
  readonly frames: number;
  readonly violations: readonly string[];
  /** How each request ended. */
  readonly outcomes: ReadonlyMap<string, Outcome['kind'] | 'open'>;
};

/** Time after the last line in which every request must end and late effects show. */
const SETTLE_MS: Milliseconds = 8000;

const NO_FAULT: FrameTreatment = { kind: 'deliver' };

/** Tells whether some request has no outcome. */
function isBusy(session: Session): boolean {
  return [...session.observer.requests.values()].some(({ outcome }) => outcome === undefined);
}

/**
 * Runs a scenario with faults at given frames.
 *
 * @param text The scenario.
 * @param faults What strikes when.
 * @param seed Seed of the session. @default 1
 */
export async function runWithFaults(
  text: string,
  faults: readonly FaultAtFrame[],
  seed = 1,
): Promise<FaultRun> {
  let session: Session | undefined;
  let frames = 0;
  let busyFrames = 0;
  function treat(frame: FrameFacts): FrameTreatment {
    if (session === undefined || session.observer.requests.size === 0) return NO_FAULT;
    frames += 1;
    if (isBusy(session)) busyFrames = frames;
    const due = faults.filter((each) => each.frame === frames);
    let treatment = NO_FAULT;
    for (const { fault } of due) {
      const strike: FrameFault = FRAME_FAULTS[fault];
      session.observer.disturbed(frame.from, frame.to);
      const next = strike(session, frame);
      if (next.kind !== 'deliver') treatment = next;
    }
    return treatment;
  }
  const report = await runScenario('sweep', text, {
    seed,
    treat,
    settleMs: SETTLE_MS,
    onSession: (started) => {
      session = started;
    },
  });
  const requests = [...report.session.observer.requests];
  return {
    frames: busyFrames,
    violations: report.violations,
    outcomes: new Map(requests.map(([name, each]) => [name, each.outcome?.kind ?? 'open'])),
  };
}
