import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Session } from '../session/mod.ts';
import type { FrameInfo, FrameAction } from '../world/mod.ts';

/** Injects a fault when a frame is sent and returns what the network does with the frame. */
export type FrameFault = (session: Session, frame: FrameInfo) => FrameAction;

const DELAY_MS: Milliseconds = 1500;

const CUT_MS: Milliseconds = 1500;

const RESTART_DELAY_MS: Milliseconds = 300;

const PAUSE_MS: Milliseconds = 2500;

const DELIVER_FRAME: FrameAction = { kind: 'deliver' };

/** Returns the host of a frame's sender or receiver that is a sidecar. */
function sidecarOf(session: Session, { from, to }: FrameInfo): string {
  return session.sidecars.has(from) ? from : to;
}

function cut(session: Session, paths: readonly (readonly [string, string])[]): FrameAction {
  const { clock, network } = session.world;
  paths.forEach(([from, to]) => network.cut(from, to));
  clock.schedule(CUT_MS, () => paths.forEach(([from, to]) => network.heal(from, to)));
  return DELIVER_FRAME;
}

function scheduleAction(session: Session, delay: Milliseconds, run: () => void): FrameAction {
  session.world.clock.schedule(delay, run);
  return DELIVER_FRAME;
}

function restartSidecar(session: Session, host: string): void {
  const sidecar = session.sidecars.get(host);
  if (sidecar === undefined) return;
  sidecar.process.kill();
  scheduleAction(session, RESTART_DELAY_MS, () => {
    sidecar.process = session.world.startSidecar(host, sidecar.backend);
  });
}

/** Faults by name. */
export const FRAME_FAULTS = {
  lose: () => ({ kind: 'drop' }),
  repeat: () => ({ kind: 'duplicate' }),
  delay: () => ({ kind: 'delay', delayMs: DELAY_MS }),
  cut: (session, { from, to }) =>
    cut(session, [
      [from, to],
      [to, from],
    ]),
  'one-way cut': (session, { from, to }) => cut(session, [[from, to]]),
  silence: (session, { from, to }) => {
    session.world.network.silence(from, to);
    return DELIVER_FRAME;
  },
  restart: (session, frame) =>
    scheduleAction(session, 0, () => restartSidecar(session, sidecarOf(session, frame))),
  pause: (session, frame) => {
    const process = session.sidecars.get(sidecarOf(session, frame))?.process;
    scheduleAction(session, 0, () => process?.gate.pause());
    return scheduleAction(session, PAUSE_MS, () => process?.gate.resume());
  },
  'pause entry': (session, { from, to }) => {
    const process = session.entries.get(session.entries.has(from) ? from : to);
    scheduleAction(session, 0, () => process?.gate.pause());
    return scheduleAction(session, PAUSE_MS, () => process?.gate.resume());
  },
  'engine restart': (session) =>
    scheduleAction(session, 0, () => session.sidecars.get('e1')?.engine?.restart()),
  'lost orders': (session) => {
    const faults = session.sidecars.get('e1')?.faults;
    if (faults !== undefined) Object.assign(faults, { lost: 1, executionDelayMs: DELAY_MS });
    return DELIVER_FRAME;
  },
  'lost replies': (session) => {
    session.sidecars.get('s1')?.service?.loseReplies(1);
    return DELIVER_FRAME;
  },
} as const satisfies Readonly<Record<string, FrameFault>>;

/** Name of a fault in `FRAME_FAULTS`. */
export type FrameFaultName = keyof typeof FRAME_FAULTS;
