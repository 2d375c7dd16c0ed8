import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';
import { runScenario } from '../session/mod.ts';
import type { Session } from '../session/mod.ts';
import type { FrameInfo, FrameAction } from '../world/mod.ts';
import { FRAME_FAULTS } from './frameFaults.ts';
import type { FrameFault, FrameFaultName } from './frameFaults.ts';

/** A fault and the frame at which to inject it, counted from 1 at the session's first request. */
export type FaultAtFrame = { readonly fault: FrameFaultName; readonly frame: number };

/** Result of a session with faults. */
export type FaultRunResult = {
  /** Number of frames from the first request until the last request ended. */
  readonly frames: number;
  readonly violations: readonly string[];
  /** Outcome of each request by name. */
  readonly outcomes: ReadonlyMap<string, Outcome['kind'] | 'open'>;
};

/** Time after the last line, in which every request must end and delayed effects occur. */
const SETTLE_MS: Milliseconds = 8000;

const DELIVER_FRAME: FrameAction = { kind: 'deliver' };

/** Returns whether any request has no outcome yet. */
function hasOpenRequest(session: Session): boolean {
  return [...session.observer.requests.values()].some(({ outcome }) => outcome === undefined);
}

/**
 * Runs a scenario and injects faults at given frames.
 *
 * @param text The scenario.
 * @param faults The faults to inject and their frames.
 * @param seed Seed of the session. @default 1
 */
export async function runWithFaults(
  text: string,
  faults: readonly FaultAtFrame[],
  seed = 1,
): Promise<FaultRunResult> {
  let session: Session | undefined;
  let frames = 0;
  let framesUntilLastEnd = 0;
  function chooseFrameAction(frame: FrameInfo): FrameAction {
    if (session === undefined || session.observer.requests.size === 0) return DELIVER_FRAME;
    frames += 1;
    if (hasOpenRequest(session)) framesUntilLastEnd = frames;
    const due = faults.filter((each) => each.frame === frames);
    let action = DELIVER_FRAME;
    for (const { fault } of due) {
      const inject: FrameFault = FRAME_FAULTS[fault];
      session.observer.recordFault(frame.from, frame.to);
      const next = inject(session, frame);
      if (next.kind !== 'deliver') action = next;
    }
    return action;
  }
  const report = await runScenario('sweep', text, {
    seed,
    chooseFrameAction,
    settleMs: SETTLE_MS,
    onSession: (started) => {
      session = started;
    },
  });
  const requests = [...report.session.observer.requests];
  return {
    frames: framesUntilLastEnd,
    violations: report.violations,
    outcomes: new Map(requests.map(([name, each]) => [name, each.outcome?.kind ?? 'open'])),
  };
}
