import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Session } from '../session/mod.ts';
import type { FrameFacts, FrameTreatment } from '../world/mod.ts';

/** Breaks something when a frame is sent and says what happens to the frame. */
export type FrameFault = (session: Session, frame: FrameFacts) => FrameTreatment;

const DELAY_MS: Milliseconds = 1500;

const CUT_MS: Milliseconds = 1500;

const RESTART_MS: Milliseconds = 300;

const PAUSE_MS: Milliseconds = 2500;

const DELIVER: FrameTreatment = { kind: 'deliver' };

/** Returns the end of a frame's path that is a sidecar. */
function sidecarOf(session: Session, { from, to }: FrameFacts): string {
  return session.sidecars.has(from) ? from : to;
}

function cut(session: Session, paths: readonly (readonly [string, string])[]): FrameTreatment {
  const { clock, network } = session.world;
  paths.forEach(([from, to]) => network.cut(from, to));
  clock.schedule(CUT_MS, () => paths.forEach(([from, to]) => network.heal(from, to)));
  return DELIVER;
}

function later(session: Session, delay: Milliseconds, run: () => void): FrameTreatment {
  session.world.clock.schedule(delay, run);
  return DELIVER;
}

function restartSidecar(session: Session, host: string): void {
  const sidecar = session.sidecars.get(host);
  if (sidecar === undefined) return;
  sidecar.process.kill();
  later(session, RESTART_MS, () => {
    sidecar.process = session.world.startSidecar(host, sidecar.backend);
  });
}

/** Faults by name. */
export const FRAME_FAULTS = {
  lose: () => ({ kind: 'lose' }),
  repeat: () => ({ kind: 'repeat' }),
  delay: () => ({ kind: 'delay', delayMs: DELAY_MS }),
  cut: (session, { from, to }) =>
    cut(session, [
      [from, to],
      [to, from],
    ]),
  'one-way cut': (session, { from, to }) => cut(session, [[from, to]]),
  silence: (session, { from, to }) => {
    session.world.network.silence(from, to);
    return DELIVER;
  },
  restart: (session, frame) =>
    later(session, 0, () => restartSidecar(session, sidecarOf(session, frame))),
  pause: (session, frame) => {
    const process = session.sidecars.get(sidecarOf(session, frame))?.process;
    later(session, 0, () => process?.gate.pause());
    return later(session, PAUSE_MS, () => process?.gate.wake());
  },
  'pause entry': (session, { from, to }) => {
    const process = session.entries.get(session.entries.has(from) ? from : to);
    later(session, 0, () => process?.gate.pause());
    return later(session, PAUSE_MS, () => process?.gate.wake());
  },
  'engine restart': (session) =>
    later(session, 0, () => session.sidecars.get('e1')?.engine?.restart()),
  'lost orders': (session) => {
    const faults = session.sidecars.get('e1')?.faults;
    if (faults !== undefined) Object.assign(faults, { lost: 1, lateMs: DELAY_MS });
    return DELIVER;
  },
  'lost replies': (session) => {
    session.sidecars.get('s1')?.service?.loseReplies(1);
    return DELIVER;
  },
} as const satisfies Readonly<Record<string, FrameFault>>;

/** The name of a fault that strikes at a frame. */
export type FrameFaultName = keyof typeof FRAME_FAULTS;
