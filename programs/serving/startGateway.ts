import { randomUUID } from 'node:crypto';
import polka from 'polka';
import { CallerServer } from '../../carriage/mod.ts';
import { RecordMirror } from '../../core/mirror/mod.ts';
import type { MirrorNews, MirroredRecord } from '../../core/mirror/mod.ts';
import type { Log } from '../../log/mod.ts';
import { Metrics } from '../../metrics/mod.ts';
import {
  decodeAdapterRelease,
  decodeBackendServer,
  decodeDeployment,
  DEPLOYMENT_KEY,
  OPERATOR_PREFIX,
  READINESS_PATH,
  RELEASE_PREFIX,
  SERVER_PREFIX,
  StoreClient,
} from '../../platform/mod.ts';
import type { ProcessSettings, SocketAddress } from '../../platform/mod.ts';
import { Gateway, PeerTask, StoreTask } from '../../tasks/gateway/mod.ts';
import type { Mirrors } from '../../tasks/gateway/mod.ts';
import { dialWebSocket, listenWebSocket, realClock } from '../../transport/mod.ts';
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

/** Time in which changes of servers gather; a server that leaves must be left within two seconds. */
const SERVERS_PACE_MS = 400;

/** Time after the signal to stop during which new requests are still served: the balancer needs two seconds. */
const SERVE_ON_MS = 2600;

/** Time before the end of the grace at which open requests are broken off. */
const BREAK_OFF_MS = 400;

const OK_STATUS = 200;

const NOT_READY_STATUS = 503;

function splitAddress(address: SocketAddress): { readonly ip: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  return { ip: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

function applyOperatorRecord(gateway: Gateway, log: Log, record: MirroredRecord): void {
  const { key, value } = record;
  if (value === undefined) return;
  try {
    if (key === DEPLOYMENT_KEY) gateway.applyDeployment(decodeDeployment(value));
    if (!key.startsWith(RELEASE_PREFIX)) return;
    const release = decodeAdapterRelease(value);
    if (release === undefined) log('recordUnreadable', { key });
    else gateway.applyRelease(release.name, release.version);
  } catch (error) {
    log('recordUnreadable', { key, error: String(error) });
  }
}

function applyServerRecord(
  gateway: Gateway,
  log: Log,
  record: MirroredRecord,
  returnUntil: number | undefined,
): void {
  const { key, value } = record;
  const id = key.slice(SERVER_PREFIX.length);
  if (value === undefined) {
    gateway.servers.remove(id, returnUntil);
    return;
  }
  const server = decodeBackendServer(id, value);
  if (server === undefined) log('recordUnreadable', { key });
  else gateway.servers.put(server);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Takes news of one copy of the store's records; returns whether they changed it. */
type TakeNews = (
  prefix: string,
  news: MirrorNews,
  /** Until when removed records may come back. */
  returnUntil: number | undefined,
) => boolean;

type Peers = {
  readonly applySeeds: (seeds: readonly SocketAddress[]) => void;
  readonly close: () => Promise<void>;
};

/** Starts gossip with the other entries, on hosts that have an address for it. */
async function startPeers(
  settings: ProcessSettings,
  log: Log,
  mirrors: Mirrors,
  tell: (prefix: string, news: MirrorNews) => void,
): Promise<Peers> {
  const { peerAddress, seeds } = settings;
  if (peerAddress === undefined) {
    return { applySeeds: () => undefined, close: () => Promise.resolve() };
  }
  const peers = new PeerTask({
    address: peerAddress,
    seeds,
    mirrors,
    clock: realClock,
    dial: dialWebSocket,
    log,
    tell,
  });
  const listener = await listenWebSocket(splitAddress(peerAddress), peers.accept);
  peers.start();
  return {
    applySeeds: (changed) => peers.applySeeds(changed),
    close: () => {
      peers.close();
      return listener.close();
    },
  };
}

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
  const store = new StoreClient(settings.storeAddress);
  const gateway = new Gateway({
    entry: `${settings.host}/${randomUUID()}`,
    availabilityZone: settings.availabilityZone,
    keeperPort: settings.linkPort,
    retryShare: settings.retryShare,
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
  let isLeaving = false;
  let { graceMs } = settings;
  const mirrors = new Map([OPERATOR_PREFIX, SERVER_PREFIX].map((key) => [key, new RecordMirror()]));
  const take: TakeNews = (prefix, news, returnUntil) => {
    const changed = mirrors.get(prefix)?.apply(news) ?? [];
    changed.forEach((record) => {
      if (prefix === SERVER_PREFIX) applyServerRecord(gateway, log, record, returnUntil);
      else applyOperatorRecord(gateway, log, record);
    });
    if (gateway.deployment !== undefined) server.applyLimits(gateway.deployment.callerLimits);
    return changed.length > 0;
  };
  const tasks = new Map(
    [...mirrors].map(([prefix, mirror]) => [
      prefix,
      new StoreTask({
        store,
        prefix,
        mirror,
        clock: realClock,
        log,
        random: Math.random,
        paceMs: prefix === SERVER_PREFIX ? SERVERS_PACE_MS : 0,
        tell: (news, returnUntil) => take(prefix, news, returnUntil),
      }),
    ]),
  );
  const peers = await startPeers(settings, log, mirrors, (prefix, news) => {
    if (!take(prefix, news, tasks.get(prefix)?.returnUntil())) return;
    log('peerTaught', { prefix, asOf: news.asOf });
  });
  const readiness = polka().get(READINESS_PATH, (_request, response) => {
    response.statusCode = gateway.isReady && !isLeaving ? OK_STATUS : NOT_READY_STATUS;
    response.end();
  });
  const ready = splitAddress(settings.readinessAddress ?? `${settings.ip}:0`);
  readiness.listen({ host: ready.ip, port: ready.port });
  await server.listen();
  gateway.start();
  tasks.forEach((task) => task.start());
  metrics.gauge('open_requests', () => gateway.open);
  metrics.gauge('known_servers', () => gateway.servers.size);
  metrics.gauge('deployment_version', () => gateway.deployment?.version ?? 0);
  const closeMetrics = serveMetrics(settings.ip, metricsPort, metrics);
  return {
    callerPort: server.port,
    applySettings: (changed) => {
      graceMs = changed.graceMs;
      gateway.applyRetryShare(changed.retryShare);
      peers.applySeeds(changed.seeds);
    },
    leave: async () => {
      const endAt = performance.now() + graceMs - BREAK_OFF_MS;
      isLeaving = true;
      server.leave();
      await sleep(Math.min(SERVE_ON_MS, graceMs / 2));
      gateway.refuseNew();
      while (server.open > 0 && performance.now() < endAt) await sleep(50);
      server.abort();
      readiness.server?.close();
      closeMetrics();
      gateway.close();
      tasks.forEach((task) => task.close());
      await Promise.all([store.close(), peers.close()]);
    },
  };
}
