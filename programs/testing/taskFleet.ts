import { checkSet, packSet, parseSet, sha256 } from '../../core/set/mod.ts';
import type { Log, LogEventName, LogFields } from '../../log/mod.ts';
import { readSettings } from '../../settings/mod.ts';
import type { Settings, SettingsRole } from '../../settings/mod.ts';
import type { EntryStatus } from '../../tasks/entry/mod.ts';
import type { SidecarStatus } from '../../tasks/sidecar/mod.ts';
import { startEntry } from '../startEntry.ts';
import type { RunningProcess } from '../startEntry.ts';
import { startSidecar } from '../startSidecar.ts';
import { startStandins } from '../startStandins.ts';
import type { RunningStandins } from '../startStandins.ts';

/** The bearer token of the fleet's caller, who belongs to tenant `t`. */
export const TASK_FLEET_TOKEN = 'task-fleet-caller-token';

const LINK_KEYS = ['task-fleet-link-key-0123456789-abcdef'] as const;

const SET = [
  '[tenant t]\n[tenant other]',
  `[caller c]\ntenant = t\ntoken_sha256 = ${sha256(TASK_FLEET_TOKEN)}`,
  '[base_model m]',
  '[pool p]\nbase_model = m\npolicy = load-stalls\nslots = 4',
  'loads_per_second = 1000\nloads_at_once = 100',
  '[adapter t/a]\npool = p\nversions = 1\n[adapter other/b]\npool = p\nversions = 1',
  '[service t/s]\n[service other/s]',
  '[backend_server engine-1]\npool = p\n[backend_server service-1]\nservice = t/s',
].join('\n');

/** One logged event. */
export type LoggedEvent = { readonly name: LogEventName; readonly fields: LogFields };

/** An entry, a sidecar of an engine, and the stand-ins, all in this process. */
export type TaskFleet = {
  readonly url: string;
  readonly linksPort: number;
  readonly standins: RunningStandins;
  readonly entry: RunningProcess<EntryStatus>;
  readonly sidecar: RunningProcess<SidecarStatus>;
  readonly events: readonly LoggedEvent[];
  /** Resolves with the next event of this name that is logged after the call. */
  readonly nextEvent: (name: LogEventName) => Promise<LoggedEvent>;
  readonly stop: () => Promise<void>;
};

class EventRecorder {
  readonly events: LoggedEvent[] = [];

  readonly #waiters = new Set<(event: LoggedEvent) => void>();

  readonly log: Log = (name, fields = {}) => {
    const event = { name, fields };
    this.events.push(event);
    [...this.#waiters].forEach((waiter) => waiter(event));
  };

  next(name: LogEventName): Promise<LoggedEvent> {
    return new Promise((resolve) => {
      const waiter = (event: LoggedEvent): void => {
        if (event.name !== name) return;
        this.#waiters.delete(waiter);
        resolve(event);
      };
      this.#waiters.add(waiter);
    });
  }
}

function parseSettings<R extends SettingsRole>(role: R, text: string): Settings<R> {
  const reading = readSettings(role, `${role}.ini`, text);
  if (reading.kind === 'settings') return reading.settings;
  throw new Error(reading.problems.map(({ message }) => message).join('\n'));
}

function processSettings(host: string, url: string, rest: string): string {
  return [
    `[process]\nhost = ${host}\navailability_zone = az-1`,
    `[platform]\nconfiguration = ${url}\nhost_list = ${url}`,
    '[link]\nkey_env = TASK_FLEET_LINK_KEY',
    rest,
  ].join('\n');
}

/** Starts a fleet and waits until its entry can serve completions. */
export async function startTaskFleet(): Promise<TaskFleet> {
  [process.env.TASK_FLEET_LINK_KEY] = LINK_KEYS;
  const recorder = new EventRecorder();
  const { log } = recorder;
  const { objects } = checkSet(parseSet([{ file: 'set.ini', text: SET }]).declarations);
  const standins = await startStandins(
    parseSettings(
      'standins',
      [
        '[platform]\nlisten = 127.0.0.1:0\n[store]\nloads_per_second = 1000\nloads_at_once = 100',
        '[engines]\nlisten = 127.0.0.1:0\nslots = 4\n[service]\nlisten = 127.0.0.1:0',
      ].join('\n'),
    ),
    packSet(objects, 1).values,
  );
  const platform = `http://127.0.0.1:${standins.platformPort}`;
  const backend = `[backend]\nkind = engine\nbackend_server = engine-1\nurl = http://127.0.0.1:`;
  const sidecarText = processSettings(
    'engine-1',
    platform,
    `[listen]\nlinks = 127.0.0.1:0\nadmin = 127.0.0.1:0\n${backend}${standins.enginePorts[0]}`,
  );
  const sidecarSet = recorder.next('setTaken');
  const sidecar = await startSidecar({
    settings: parseSettings('sidecar', sidecarText),
    linkKeys: LINK_KEYS,
    log,
  });
  await sidecarSet;
  const linksPort = sidecar.ports.links!;
  const address = `127.0.0.1:${linksPort}`;
  const availabilityZone = 'az-1';
  standins.setHosts([
    { host: 'engine-1', role: 'sidecar', address, availabilityZone, state: 'live' },
  ]);
  const ready = Promise.all([recorder.next('setTaken'), recorder.next('linkReady')]);
  const entryText = processSettings(
    'entry-1',
    platform,
    '[listen]\ncallers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n[limits]\nbody_bytes = 65536\nunread_bytes = 16384',
  );
  const entry = await startEntry({
    settings: parseSettings('entry', entryText),
    linkKeys: LINK_KEYS,
    log,
  });
  await ready;
  return {
    url: `http://127.0.0.1:${entry.ports.callers}`,
    linksPort,
    standins,
    entry,
    sidecar,
    events: recorder.events,
    nextEvent: (name) => recorder.next(name),
    stop: async () => {
      await entry.leave();
      await sidecar.leave();
      await standins.stop();
    },
  };
}
