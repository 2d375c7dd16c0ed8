import { nanoid } from 'nanoid';
import { createAdminHandler, RecentEvents, createSidecarSource } from '../admin/mod.ts';
import { SIDECAR_SCOPE } from '../core/set/mod.ts';
import type { PublishedSet } from '../core/set/mod.ts';
import { listenHttp } from '../http/mod.ts';
import type { Log } from '../log/mod.ts';
import { createHttpConfiguration } from '../publishing/mod.ts';
import type { Settings } from '../settings/mod.ts';
import { createHttpEngine, createHttpService } from '../sidecar/mod.ts';
import { SetTask } from '../tasks/set/mod.ts';
import { SidecarTask } from '../tasks/sidecar/mod.ts';
import type { Backend, SidecarStatus } from '../tasks/sidecar/mod.ts';
import { listenWebSocket, realClock } from '../transport/mod.ts';
import type { RunningProcess } from './startEntry.ts';

/** Mean time that the sidecar waits to receive the set from entries before it reads the set itself. */
const START_SPREAD_MS = 3000;

/** How to start a sidecar. */
export type StartSidecarOptions = {
  readonly settings: Settings<'sidecar'>;
  readonly linkKeys: readonly string[];
  readonly log: Log;
};

function createBackend(settings: Settings<'sidecar'>): Backend {
  const { kind, url } = settings.backend;
  if (kind === 'engine') return { kind, engine: createHttpEngine({ url }) };
  return { kind, service: createHttpService({ url }) };
}

/**
 * Starts a sidecar.
 *
 * @param options Checked settings, link keys and the log.
 */
export async function startSidecar(
  options: StartSidecarOptions,
): Promise<RunningProcess<SidecarStatus>> {
  const { settings, linkKeys } = options;
  const { host } = settings.process;
  const clock = realClock;
  const events = new RecentEvents(clock);
  const log = events.wrapLog(options.log);
  const identity = { role: 'sidecar', host, incarnation: nanoid() } as const;
  const task = new SidecarTask({
    clock,
    identity,
    backendServer: settings.backend.backend_server,
    backend: createBackend(settings),
    linkKeys,
    nonce: () => nanoid(),
    log,
  });
  const configuration = createHttpConfiguration(settings.platform.configuration);
  let setInForce: PublishedSet | undefined;
  const setTask = new SetTask({
    clock,
    configuration,
    log,
    onSet: (set) => {
      setInForce = set;
      task.applySet(set);
    },
    send: (peer, frame) => task.sendSet(peer, frame),
    isWatcher: () => false,
    forwardsReads: true,
    startSpreadMs: START_SPREAD_MS,
    scope: SIDECAR_SCOPE,
  });
  task.subscribeSetEvents((news) => setTask.handleEvent(news));
  const links = await listenWebSocket(settings.listen.links, (peer) => task.accept(peer));
  const source = createSidecarSource(task, events, () => setInForce);
  const admin = await listenHttp(settings.listen.admin, createAdminHandler({ source, clock, log }));
  task.start();
  setTask.start();
  log('processStarted', {
    incarnation: identity.incarnation,
    linksPort: links.port,
    adminPort: admin.port,
  });
  return {
    ports: { links: links.port, admin: admin.port },
    status: () => task.status(),
    leave: async () => {
      log('processStopping');
      await new Promise<void>((resolve) => {
        task.leave(resolve);
      });
      setTask.stop();
      task.stop();
      await configuration.close();
      await links.close();
      await admin.close();
      log('processStopped');
    },
  };
}
