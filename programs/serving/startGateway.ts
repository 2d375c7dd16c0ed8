import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { CallerServer } from '../../proxy/mod.ts';
import { ConfigurationAge } from '../../core/freshness/mod.ts';
import type { Milliseconds } from '../../core/clock/mod.ts';
import { limitLogRate } from '../../log/mod.ts';
import type { Log } from '../../log/mod.ts';
import { Metrics } from '../../metrics/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';
import { Gateway, LoadSheddingTask } from '../../tasks/gateway/mod.ts';
import { CallerLimiter, RequestIntake } from '../../http/mod.ts';
import { dialWebSocket, readFirstClock, realClock } from '../../transport/mod.ts';
import { splitAddress } from './_splitAddress.ts';
import { NO_PEERS, startPeers } from './_startPeers.ts';
import { serveReadiness } from './_serveReadiness.ts';
import { StoreRecords } from './_storeRecords.ts';
import { serveMetrics } from './serveMetrics.ts';

/** A running process of either role. */
export type ServingProcess = {
  /** Port for callers; 0 for a process that serves none. */
  readonly callerPort: number;
  /** Applies changed settings; addresses keep their values from startup. */
  readonly applySettings: (settings: ProcessSettings) => void;
  /** Drains open requests and stops. */
  readonly leave: () => Promise<void>;
};

/** Limits for callers until the operator's configuration is known. */
const INITIAL_CALLER_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
} as const;

const BYTES_IN_MB = 1_000_000;

/** Least and largest share of the memory that callers' connections and requests may take. */
const MIN_CALLER_MEMORY_SHARE = 0.1;
const MAX_CALLER_MEMORY_SHARE = 0.3;

/** Memory that a process takes by itself, with chunks of bodies that are read and not collected yet. */
const OWN_MEMORY_MB = 180;

/** Share of the rest that callers' connections and requests may take. */
const CALLER_SHARE_OF_REST = 0.5;

/** Time after SIGTERM during which new requests are still served; the load balancer needs two seconds to react. */
const LAME_DUCK_MS: Milliseconds = 2600;

/** Time before the end of the grace period at which open requests get their final responses. */
const ABORT_MARGIN_MS: Milliseconds = 400;

/** Time in which these responses leave before the connections are closed. */
const FLUSH_MS: Milliseconds = 100;

/** Time between checks whether all open requests have ended. */
const DRAIN_POLL_INTERVAL_MS: Milliseconds = 50;

/** Returns the memory that callers' connections and requests may take of that of the process. */
function maxCallerBytes(memoryMb: number): number {
  const restMb = (memoryMb - OWN_MEMORY_MB) * CALLER_SHARE_OF_REST;
  const leastMb = memoryMb * MIN_CALLER_MEMORY_SHARE;
  const mostMb = memoryMb * MAX_CALLER_MEMORY_SHARE;
  return Math.min(mostMb, Math.max(leastMb, restMb)) * BYTES_IN_MB;
}

/**
 * Starts the gateway of an entry, the process that serves callers (role `entry`).
 *
 * @param metricsPort Port of the metrics endpoint. @default a free port
 */
export async function startGateway(
  settings: ProcessSettings,
  log: Log,
  metricsPort = 0,
): Promise<ServingProcess> {
  const metrics = new Metrics();
  let peers = NO_PEERS;
  let isLeaving = false;
  let isShedding = false;
  let { graceMs } = settings;
  const configurationAge = new ConfigurationAge();
  const serverRecordsAge = new ConfigurationAge();
  const intake = new RequestIntake({
    onTurn: (tookMs) => metrics.record('loop_turn_ms', tookMs),
  });
  const gateway = new Gateway({
    entryId: `${settings.host}/${randomUUID()}`,
    availabilityZone: settings.availabilityZone,
    keeperPort: settings.linkPort,
    retryShare: settings.retryShare,
    retrySlack: settings.retrySlack,
    maxKnownEntries: () => peers.maxKnownEntries(),
    peerName: settings.peerAddress,
    peerNames: (maxAgeMs) => peers.names(maxAgeMs),
    capacityOf: (name) => peers.capacityOf(name),
    tokenLimitBounds: settings.tokenLimitBounds,
    minKnownEntries: settings.peerAddress === undefined ? 1 : settings.seeds.length + 1,
    peerReach: () => peers.reach(),
    onSharedChange: () => peers.pushChanges(),
    clock: readFirstClock,
    dial: dialWebSocket,
    socketReads: intake.reads,
    log,
    metrics,
    random: Math.random,
    recordsAgeMs: () => serverRecordsAge.ageMs(realClock.now()),
    usesPromptCache: settings.usesPromptCache,
    keyPolicy: {
      configurationAgeMs: () => configurationAge.ageMs(realClock.now()),
      configurationDelayMs: settings.configurationDelayMs,
      keyWithdrawalMs: settings.keyWithdrawalMs,
    },
  });
  const rateLimitedLog = limitLogRate(log, realClock);
  const limiter: CallerLimiter = new CallerLimiter({
    ...(settings.memoryMb > 0 && { maxHeldBytes: maxCallerBytes(settings.memoryMb) }),
    onLimited: () => {
      metrics.count('callers_limited_total');
      rateLimitedLog('callerLimited', { heldBytes: limiter.heldBytes });
    },
  });
  const server = new CallerServer({
    ...splitAddress(settings.callerAddress ?? `${settings.ip}:0`),
    limits: INITIAL_CALLER_LIMITS,
    handle: (request) => {
      metrics.record('intake_waited_ms', request.arrival.waitedMs);
      gateway.handle(request);
    },
    rejectEarly: (request) => gateway.rejectEarly(request),
    onCallerGone: (request) => gateway.noteCallerGone(request),
    limiter,
    intake,
    onListenQueueReset: () => {
      metrics.count('listen_queue_resets_total');
      log('listenQueueReset', { openConnections: intake.connectionCount });
    },
    onListenFailed: (error) => log('listenFailed', { error: error.message }),
  });
  const records = new StoreRecords({
    settings,
    gateway,
    configurationAge,
    serverRecordsAge,
    log,
    metrics,
    onChange: () => {
      if (gateway.deployment !== undefined) server.applyLimits(gateway.deployment.callerLimits);
    },
  });
  const loadShedding = new LoadSheddingTask({
    clock: realClock,
    log,
    metrics,
    peerLagsMs: () => peers.lagsMs(),
    onChange: (shedding) => {
      isShedding = shedding;
      if (!isLeaving) server.drainConnections(shedding);
    },
  });
  peers = await startPeers({
    settings,
    log,
    metrics,
    mirrors: records.mirrors,
    shared: gateway.sharedStates,
    services: gateway.peerServices,
    lagMs: () => loadShedding.lagMs,
    readers: records.readers,
    removalGraceUntil: (prefix) => records.removalGraceUntil(prefix),
    onUpdate: (prefix, update, graceUntil) => records.applyPeerUpdate(prefix, update, graceUntil),
  });
  const closeReadiness = serveReadiness(
    settings.readinessAddress ?? `${settings.ip}:0`,
    () => gateway.isReady && !isLeaving && !isShedding && !intake.hasResetListenQueue,
  );
  await server.listen();
  gateway.start();
  loadShedding.start();
  records.start();
  metrics.gauge('open_requests', () => gateway.openRequestCount);
  metrics.gauge('open_connections', () => server.openConnectionCount);
  metrics.gauge('held_caller_bytes', () => server.heldBytes);
  metrics.gauge('accept_run', () => server.acceptRun);
  metrics.gauge('silence_ms', () => Math.round(intake.silenceMs));
  metrics.gauge('intake_wait_ms', () => Math.round(server.oldestWaitMs));
  metrics.gauge('known_servers', () => gateway.servers.size);
  metrics.gauge('deployment_version', () => gateway.deployment?.version ?? 0);
  metrics.gauge('configuration_age_ms', () => {
    const ageMs = configurationAge.ageMs(realClock.now());
    return Number.isFinite(ageMs) ? Math.round(ageMs) : -1;
  });
  metrics.gauge('store_reader', () => (records.readers?.isReader === false ? 0 : 1));
  const closeMetrics = serveMetrics(settings.ip, metricsPort, metrics);

  async function leave(): Promise<void> {
    const abortAt = performance.now() + graceMs - ABORT_MARGIN_MS;
    isLeaving = true;
    server.drainConnections();
    await sleep(Math.min(LAME_DUCK_MS, graceMs / 2));
    gateway.refuseNew();
    while (server.openRequestCount > 0 && performance.now() < abortAt) {
      await sleep(DRAIN_POLL_INTERVAL_MS);
    }
    if (server.openRequestCount > 0) {
      gateway.endOpenRequests();
      await sleep(FLUSH_MS);
    }
    server.abort();
    closeReadiness();
    closeMetrics();
    gateway.close();
    loadShedding.close();
    await Promise.all([records.close(), peers.close()]);
  }

  return {
    callerPort: server.port,
    applySettings: (changed) => {
      graceMs = changed.graceMs;
      gateway.applyRetryLimits(changed);
      peers.applySeeds(changed.seeds);
    },
    leave,
  };
}
