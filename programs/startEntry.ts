import { nanoid } from 'nanoid';
import { createAdminHandler, createEntrySource, RecentEvents } from '../admin/mod.ts';
import { createCallerHandler } from '../entry/mod.ts';
import { CallerLimiter, listenHttp, RequestIntake } from '../http/mod.ts';
import { isWatcher } from '../core/membership/mod.ts';
import { limitLogRate } from '../log/mod.ts';
import type { Log } from '../log/mod.ts';
import { createHttpConfiguration, createHttpHostList } from '../publishing/mod.ts';
import type { Settings } from '../settings/mod.ts';
import { EntryTask } from '../tasks/entry/mod.ts';
import type { EntryStatus } from '../tasks/entry/mod.ts';
import { HostListTask } from '../tasks/hostListTask.ts';
import { SetTask } from '../tasks/set/mod.ts';
import { dialWebSocket, realClock } from '../transport/mod.ts';

/** A running entry or sidecar, in a process of its own or not. */
export type RunningProcess<S> = {
  /** Ports on which it listens, by name. */
  readonly ports: Readonly<Record<string, number>>;
  readonly status: () => S;
  /** Drains its open work, then stops. */
  readonly leave: () => Promise<void>;
};

/** How to start an entry. */
export type StartEntryOptions = {
  readonly settings: Settings<'entry'>;
  readonly linkKeys: readonly string[];
  readonly log: Log;
};

/**
 * Starts an entry.
 *
 * @param options Checked settings, link keys and the log.
 */
export async function startEntry(options: StartEntryOptions): Promise<RunningProcess<EntryStatus>> {
  const { settings, linkKeys } = options;
  const { host, availability_zone: availabilityZone } = settings.process;
  const clock = realClock;
  const events = new RecentEvents(clock);
  const log = events.wrapLog(options.log);
  const identity = { role: 'entry', host, incarnation: nanoid() } as const;
  const task = new EntryTask({
    clock,
    identity,
    availabilityZone,
    linkKeys,
    nonce: () => nanoid(),
    dial: dialWebSocket,
    log,
  });
  const configuration = createHttpConfiguration(settings.platform.configuration);
  const setTask = new SetTask({
    clock,
    configuration,
    log,
    onSet: (set) => task.applySet(set),
    send: (peer, frame) => task.sendSet(peer, frame),
    isWatcher: () => isWatcher(task.members, { host, availabilityZone }),
  });
  task.subscribeSetEvents((news) => setTask.handleEvent(news));
  const hostList = createHttpHostList(settings.platform.host_list);
  const hostListTask = new HostListTask({
    clock,
    hostList,
    log,
    onHosts: (hosts) => task.applyHosts(hosts),
  });
  const intake = new RequestIntake();
  const rateLimitedLog = limitLogRate(log, clock);
  const limiter: CallerLimiter = new CallerLimiter({
    maxHeldBytes: settings.limits.held_bytes,
    onLimited: () => rateLimitedLog('callerLimited', { heldBytes: limiter.heldBytes }),
  });
  const callers = await listenHttp(
    settings.listen.callers,
    createCallerHandler({
      task,
      maxBodyBytes: settings.limits.body_bytes,
      timeoutMs: settings.limits.request_timeout,
      maxUnreadBytes: settings.limits.unread_bytes,
      log,
      intake,
      limiter,
    }),
    intake,
    limiter,
  );
  const admin = await listenHttp(
    settings.listen.admin,
    createAdminHandler({ source: createEntrySource(task, events), clock, log }),
  );
  setTask.start();
  hostListTask.start();
  log('processStarted', {
    incarnation: identity.incarnation,
    callersPort: callers.port,
    adminPort: admin.port,
  });
  return {
    ports: { callers: callers.port, admin: admin.port },
    status: () => task.status(),
    leave: async () => {
      log('processStopping');
      await new Promise<void>((resolve) => {
        task.leave(resolve);
      });
      await callers.close();
      limiter.close();
      setTask.stop();
      hostListTask.stop();
      task.stop();
      await configuration.close();
      await hostList.close();
      await admin.close();
      log('processStopped');
    },
  };
}
