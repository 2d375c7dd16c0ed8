import { checkSet, packSet, parseSet } from '../../core/set/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Settings } from '../../settings/mod.ts';
import type { EntryStatus } from '../../tasks/entry/mod.ts';
import { startEntry } from '../startEntry.ts';
import type { RunningProcess } from '../startEntry.ts';
import { startSidecar } from '../startSidecar.ts';
import { startStandins } from '../startStandins.ts';
import type { RunningStandins } from '../startStandins.ts';
import { deploymentSet } from './_deployments.ts';
import type { DemoDeployment } from './_deployments.ts';

const ANY_LOOPBACK_PORT = { ip: '127.0.0.1', port: 0 } as const;

const LINK_KEYS = ['demo-link-key-0123456789-abcdefghij'] as const;

const ENGINES = ['engine-1', 'engine-2', 'engine-3'] as const;

const SERVICE_SERVER = 'service-1';

/** Generation of the set that the demo publishes. */
export const DEMO_GENERATION = 1;

/** One deployment that runs in this process. */
export type RunningDeployment = {
  readonly standins: RunningStandins;
  readonly entries: readonly RunningProcess<EntryStatus>[];
  readonly stop: () => Promise<void>;
};

type DeploymentContext = {
  readonly platform: Settings<'entry'>['platform'];
  readonly log: Log;
  readonly deployment: DemoDeployment;
};

function availabilityZoneOf(deployment: DemoDeployment, index: number): string {
  const zones = deployment.availabilityZones;
  return zones[index % zones.length]!;
}

function startDemoStandins(deployment: DemoDeployment): Promise<RunningStandins> {
  return startStandins({
    platform: { listen: ANY_LOOPBACK_PORT, generation: DEMO_GENERATION },
    store: {
      loads_per_second: deployment.loadsPerSecond,
      loads_at_once: deployment.loadsAtOnce,
    },
    engines: {
      listen: ENGINES.map(() => ANY_LOOPBACK_PORT),
      slots: deployment.slots,
      batch_width: 16,
      step_time: 20,
      sequence_microseconds: 500,
    },
    service: { listen: ANY_LOOPBACK_PORT },
    hosts: {},
    log: { format: 'text', level: 'warn' },
  });
}

function startDemoSidecar(
  context: DeploymentContext,
  index: number,
  backend: Settings<'sidecar'>['backend'],
): ReturnType<typeof startSidecar> {
  const settings: Settings<'sidecar'> = {
    process: {
      host: backend.backend_server,
      availability_zone: availabilityZoneOf(context.deployment, index),
    },
    listen: { links: ANY_LOOPBACK_PORT, admin: ANY_LOOPBACK_PORT },
    platform: context.platform,
    link: {},
    backend,
    log: { format: 'text', level: 'warn' },
  };
  return startSidecar({ settings, linkKeys: LINK_KEYS, log: context.log });
}

function startDemoEntry(
  context: DeploymentContext,
  index: number,
): Promise<RunningProcess<EntryStatus>> {
  const settings: Settings<'entry'> = {
    process: {
      host: `entry-${index + 1}`,
      availability_zone: availabilityZoneOf(context.deployment, index),
    },
    listen: { callers: ANY_LOOPBACK_PORT, admin: ANY_LOOPBACK_PORT },
    platform: context.platform,
    link: {},
    limits: {
      request_timeout: 60_000,
      body_bytes: 1_048_576,
      unread_bytes: 262_144,
      held_bytes: 134_217_728,
    },
    log: { format: 'text', level: 'warn' },
  };
  return startEntry({ settings, linkKeys: LINK_KEYS, log: context.log });
}

function publishSet(deployment: DemoDeployment, standins: RunningStandins): void {
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
 * Starts two entries, and sidecars with stand-ins for three engines and a plain service, on loopback.
 *
 * @param deployment The deployment to start.
 * @param log Receives the events of entries and sidecars.
 */
export async function startDeployment(
  deployment: DemoDeployment,
  log: Log,
): Promise<RunningDeployment> {
  const standins = await startDemoStandins(deployment);
  const url = `http://127.0.0.1:${standins.platformPort}`;
  const context: DeploymentContext = {
    platform: { configuration: url, host_list: url },
    log,
    deployment,
  };
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
    backends.map((backend, index) => startDemoSidecar(context, index, backend)),
  );
  standins.setHosts(
    backends.map((backend, index) => ({
      host: backend.backend_server,
      role: 'sidecar',
      address: `127.0.0.1:${sidecars[index]!.ports.links}`,
      availabilityZone: availabilityZoneOf(deployment, index),
      state: 'live',
    })),
  );
  const entries = await Promise.all([0, 1].map((index) => startDemoEntry(context, index)));
  publishSet(deployment, standins);
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
