import { checkSet, packSet, parseSet } from '../../core/set/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Settings } from '../../settings/mod.ts';
import type { EntryStatus } from '../../tasks/entry/mod.ts';
import { startEntry } from '../startEntry.ts';
import type { Running } from '../startEntry.ts';
import { startSidecar } from '../startSidecar.ts';
import { startStandins } from '../startStandins.ts';
import type { RunningStandins } from '../startStandins.ts';
import { deploymentSet } from './_deployments.ts';
import type { Deployment } from './_deployments.ts';

const ANY_PORT = { ip: '127.0.0.1', port: 0 } as const;

const LINK_KEYS = ['demo-link-key-0123456789-abcdefghij'] as const;

const ENGINES = ['engine-1', 'engine-2', 'engine-3'] as const;

const SERVICE_SERVER = 'service-1';

/** The generation that the demo publishes. */
export const DEMO_GENERATION = 1;

/** All of one deployment, running in this process. */
export type RunningDeployment = {
  readonly standins: RunningStandins;
  readonly entries: readonly Running<EntryStatus>[];
  readonly stop: () => Promise<void>;
};

type Common = {
  readonly platform: Settings<'entry'>['platform'];
  readonly log: Log;
  readonly deployment: Deployment;
};

function zoneOf(deployment: Deployment, index: number): string {
  const zones = deployment.availabilityZones;
  return zones[index % zones.length]!;
}

function startStandinsOf(deployment: Deployment): Promise<RunningStandins> {
  return startStandins({
    platform: { listen: ANY_PORT, generation: DEMO_GENERATION },
    store: {
      loads_per_second: deployment.loadsPerSecond,
      loads_at_once: deployment.loadsAtOnce,
    },
    engines: {
      listen: ENGINES.map(() => ANY_PORT),
      slots: deployment.slots,
      batch_width: 16,
      step_time: 20,
      sequence_microseconds: 500,
    },
    service: { listen: ANY_PORT },
    hosts: {},
    log: { format: 'text', level: 'warn' },
  });
}

function startSidecarOf(
  common: Common,
  index: number,
  backend: Settings<'sidecar'>['backend'],
): ReturnType<typeof startSidecar> {
  const settings: Settings<'sidecar'> = {
    process: {
      host: backend.backend_server,
      availability_zone: zoneOf(common.deployment, index),
    },
    listen: { links: ANY_PORT, admin: ANY_PORT },
    platform: common.platform,
    link: {},
    backend,
    log: { format: 'text', level: 'warn' },
  };
  return startSidecar({ settings, linkKeys: LINK_KEYS, log: common.log });
}

function startEntryOf(common: Common, index: number): Promise<Running<EntryStatus>> {
  const settings: Settings<'entry'> = {
    process: { host: `entry-${index + 1}`, availability_zone: zoneOf(common.deployment, index) },
    listen: { callers: ANY_PORT, admin: ANY_PORT },
    platform: common.platform,
    link: {},
    limits: { request_timeout: 60_000, body_bytes: 1_048_576, unread_bytes: 262_144 },
    log: { format: 'text', level: 'warn' },
  };
  return startEntry({ settings, linkKeys: LINK_KEYS, log: common.log });
}

function publish(deployment: Deployment, standins: RunningStandins): void {
  const text = deploymentSet(deployment, ENGINES, SERVICE_SERVER);
  const parsed = parseSet([{ file: `${deployment.tenant}.ini`, text }]);
  const check = checkSet(parsed.declarations);
  const problems = [...parsed.problems, ...check.problems];
  if (problems.length > 0) throw new Error(problems.map(({ message }) => message).join('\n'));
  packSet(check.objects, DEMO_GENERATION).values.forEach((value) =>
    standins.configuration.put(value.name, value.text),
  );
}

/**
 * Starts two entries, three engines, a plain service and their sidecars on loopback.
 *
 * @param deployment What to show.
 * @param log Where processes write their events.
 */
export async function startDeployment(
  deployment: Deployment,
  log: Log,
): Promise<RunningDeployment> {
  const standins = await startStandinsOf(deployment);
  const url = `http://127.0.0.1:${standins.platformPort}`;
  const common: Common = { platform: { configuration: url, host_list: url }, log, deployment };
  const engineBackends = ENGINES.map((name, index) => ({
    kind: 'engine' as const,
    backend_server: name,
    url: `http://127.0.0.1:${standins.enginePorts[index]}`,
  }));
  const serviceBackend = {
    kind: 'service' as const,
    backend_server: SERVICE_SERVER,
    url: `http://127.0.0.1:${standins.servicePort}`,
  };
  const backends = [...engineBackends, serviceBackend];
  const sidecars = await Promise.all(
    backends.map((backend, index) => startSidecarOf(common, index, backend)),
  );
  standins.setHosts(
    backends.map((backend, index) => ({
      host: backend.backend_server,
      role: 'sidecar',
      address: `127.0.0.1:${sidecars[index]!.ports.links}`,
      availabilityZone: zoneOf(deployment, index),
      state: 'live',
    })),
  );
  const entries = await Promise.all([0, 1].map((index) => startEntryOf(common, index)));
  publish(deployment, standins);
  return {
    standins,
    entries,
    stop: async () => {
      await Promise.all(entries.map((entry) => entry.leave()));
      await Promise.all(sidecars.map((sidecar) => sidecar.leave()));
      await standins.stop();
    },
  };
}
