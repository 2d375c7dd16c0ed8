import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Session } from '../../scenario/mod.ts';

/** Injects a fault into a session; `host` is the backend server that serves its long stream. */
export type RecoveryFault = (session: Session, host: string) => void;

const ENTRY = 'entry-1';

const SERVICE = 's1';

function silenceLinks(session: Session, host: string): void {
  session.world.network.silence(ENTRY, host);
  session.world.network.silence(ENTRY, SERVICE);
}

function cutPaths(
  session: Session,
  time: Milliseconds,
  paths: readonly (readonly [string, string])[],
): void {
  const { clock, network } = session.world;
  paths.forEach(([from, to]) => network.cut(from, to));
  clock.schedule(time, () => paths.forEach(([from, to]) => network.heal(from, to)));
}

function pathsBothWays(host: string): readonly (readonly [string, string])[] {
  return [host, SERVICE].flatMap((each) => [[ENTRY, each] as const, [each, ENTRY] as const]);
}

/** Kills sidecars and starts new incarnations after a delay. */
function killSidecars(session: Session, hosts: readonly string[], restartMs: Milliseconds): void {
  for (const host of hosts) {
    const sidecar = session.sidecars.get(host);
    sidecar?.process.kill();
    session.world.clock.schedule(restartMs, () => {
      if (sidecar !== undefined) {
        sidecar.process = session.world.startSidecar(host, sidecar.backend);
      }
    });
  }
}

function pauseProcesses(session: Session, hosts: readonly string[], time: Milliseconds): void {
  for (const host of hosts) {
    const process = session.entries.get(host) ?? session.sidecars.get(host)?.process;
    process?.gate.pause();
    session.world.clock.schedule(time, () => process?.gate.resume());
  }
}

/** The faults by name. */
export const RECOVERY_FAULTS = {
  'no fault': () => undefined,
  'silent link': silenceLinks,
  'cut for 1 s': (session, host) => cutPaths(session, 1000, pathsBothWays(host)),
  'cut towards the entry for 1 s': (session, host) =>
    cutPaths(session, 1000, [
      [host, ENTRY],
      [SERVICE, ENTRY],
    ]),
  'cut for 8 s': (session, host) => cutPaths(session, 8000, pathsBothWays(host)),
  'killed sidecar': (session, host) => killSidecars(session, [host], Number.MAX_SAFE_INTEGER),
  'killed sidecars, restarted after 1 s': (session, host) =>
    killSidecars(session, [host, SERVICE], 1000),
  'sidecars paused for 3 s': (session, host) => pauseProcesses(session, [host, SERVICE], 3000),
  'entry paused for 3 s': (session) => pauseProcesses(session, [ENTRY], 3000),
  'engine restart': (session, host) => session.sidecars.get(host)?.engine?.restart(),
  'store fails 4 loads': (session) => session.store.failNext(4),
  'service loses 4 replies': (session) => session.sidecars.get(SERVICE)?.service?.loseReplies(4),
  'configuration service down': (session) => session.world.configuration.setDown(true),
  'leaving host': (session, host) =>
    session.sidecars.get(host)?.process.task.leave(() => undefined),
  'host listed as leaving': (session, host) => session.directory.markLeaving(host),
} as const satisfies Readonly<Record<string, RecoveryFault>>;

/** The name of a fault. */
export type RecoveryFaultName = keyof typeof RECOVERY_FAULTS;
