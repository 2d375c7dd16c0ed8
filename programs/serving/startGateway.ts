import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { CallerServer } from '../../carriage/mod.ts';
import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Log } from '../../log/mod.ts';
import { Metrics } from '../../metrics/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';
import { Gateway, StrainTask } from '../../tasks/gateway/mod.ts';
import { dialWebSocket, realClock } from '../../transport/mod.ts';
import { splitAddress } from './_splitAddress.ts';
import { NO_PEERS, startPeers } from './_startPeers.ts';
import { startReadiness } from './_startReadiness.ts';
import { StoreRecords } from './_storeRecords.ts';
import { serveMetrics } from './serveMetrics.ts';

/** A process that serves until it is told to leave. */
export type Running = {
  /** The port on which callers are served; 0 on a process that takes none. */
  readonly callerPort: number;
  /** Takes settings that have changed; addresses stay as they were at the start. */
  readonly applySettings: (settings: ProcessSettings) => void;
  readonly leave: () => Promise<void>;
};

/** Limits until the operator's configuration is known. */
const FIRST_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
} as const;

/** Time after the signal to stop during which new requests are still served: the balancer needs two seconds. */
const SERVE_ON_MS: Milliseconds = 2600;

/** Time before the end of the grace at which open requests are broken off. */
const BREAK_OFF_MS: Milliseconds = 400;

/** Time between looks whether a process that leaves has answered all its requests. */
const LEAVING_LOOK_MS: Milliseconds = 50;

/**
 * Starts the process that serves callers.
 *
 * @param metricsPort Where metrics are shown. @default a free port
 */
export async function startGateway(
  settings: ProcessSettings,
  log: Log,
  metricsPort = 0,
): Promise<Running> {
  const metrics = new Metrics();
  let peers = NO_PEERS;
  let isLeaving = false;
  let isShedding = false;
  let { graceMs } = settings;
  const gateway = new Gateway({
    entry: `${settings.host}/${randomUUID()}`,
    availabilityZone: settings.availabilityZone,
    keeperPort: settings.linkPort,
    retryShare: settings.retryShare,
    retrySlack: settings.retrySlack,
    entries: () => peers.mostEntries(),
    clock: realClock,
    dial: dialWebSocket,
    log,
    metrics,
    random: Math.random,
  });
  const server = new CallerServer({
    ...splitAddress(settings.callerAddress ?? `${settings.ip}:0`),
    limits: FIRST_LIMITS,
    handle: (request) => gateway.handle(request),
  });
  const records = new StoreRecords({
    storeAddress: settings.storeAddress,
    gateway,
    log,
    changed: () => {
      if (gateway.deployment !== undefined) server.applyLimits(gateway.deployment.callerLimits);
    },
  });
  const strain = new StrainTask({
    clock: realClock,
    log,
    metrics,
    peerLagsMs: () => peers.lagsMs(),
    changed: (next) => {
      isShedding = next;
      if (!isLeaving) server.askToLeave(next);
    },
  });
  peers = await startPeers({
    settings,
    log,
    mirrors: records.mirrors,
    lagMs: () => strain.lagMs,
    tell: (prefix, news) => records.learn(prefix, news),
  });
  const closeReadiness = startReadiness(
    settings.readinessAddress ?? `${settings.ip}:0`,
    () => gateway.isReady && !isLeaving && !isShedding,
  );
  await server.listen();
  gateway.start();
  strain.start();
  records.start();
  metrics.gauge('open_requests', () => gateway.open);
  metrics.gauge('known_servers', () => gateway.servers.size);
  metrics.gauge('deployment_version', () => gateway.deployment?.version ?? 0);
  const closeMetrics = serveMetrics(settings.ip, metricsPort, metrics);

  async function leave(): Promise<void> {
    const endAt = performance.now() + graceMs - BREAK_OFF_MS;
    isLeaving = true;
    server.askToLeave();
    await sleep(Math.min(SERVE_ON_MS, graceMs / 2));
    gateway.refuseNew();
    while (server.open > 0 && performance.now() < endAt) await sleep(LEAVING_LOOK_MS);
    server.abort();
    closeReadiness();
    closeMetrics();
    gateway.close();
    strain.close();
    await Promise.all([records.close(), peers.close()]);
  }

  return {
    callerPort: server.port,
    applySettings: (changed) => {
      graceMs = changed.graceMs;
      gateway.applyRetries(changed);
      peers.applySeeds(changed.seeds);
    },
    leave,
  };
}
