import { EventEmitter, once } from 'node:events';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import type { Log, LogEventName, LogFields } from '../../../log/mod.ts';
import { READINESS_PATH } from '../../../platform/mod.ts';
import type { ProcessSettings } from '../../../platform/mod.ts';
import {
  sampleDeployment,
  StoreStandin,
  BackendServerStandin,
} from '../../../platform/testing/mod.ts';
import type { SampleOptions } from '../../../platform/testing/mod.ts';
import { startGateway } from '../startGateway.ts';
import type { ServingProcess } from '../startGateway.ts';
import { startKeeper } from '../startKeeper.ts';

/** The response that a caller received. */
export type CallerResult = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Whether the response was complete. */
  readonly isComplete: boolean;
};

/** One line of the log. */
export type LogLine = {
  readonly event: LogEventName;
  readonly fields: LogFields;
  /** When it was logged, on the clock of `performance.now`. */
  readonly at: number;
};

/** The processes and stand-ins of one test, on loopback. */
export type ServingWorld = {
  readonly store: StoreStandin;
  readonly engine: BackendServerStandin;
  readonly apps: readonly BackendServerStandin[];
  readonly gateway: ServingProcess;
  readonly lines: readonly LogLine[];
  /** Sends a request; resolves once its response has ended, complete or not. */
  readonly call: (call: CallerCall) => Promise<CallerResult>;
  /** Asks the readiness probe. */
  readonly isReady: () => Promise<boolean>;
  /** Resolves with the first log line that matches, logged already or later. */
  readonly logged: (matches: (line: LogLine) => boolean) => Promise<LogLine>;
  readonly close: () => Promise<void>;
};

/** A request that a test sends as a caller. */
export type CallerCall = {
  readonly id: string;
  readonly path: string;
  /** @default 'POST' */
  readonly method?: string;
  /** Values by name; a list is sent as several headers. */
  readonly headers?: Readonly<Record<string, string | string[]>>;
  readonly body?: string;
  /** Disconnects the caller when it is aborted. */
  readonly signal?: AbortSignal;
};

/** Options of `startServingWorld`. */
export type ServingWorldOptions = SampleOptions & {
  /** Whether the store holds a deployment from the start. @default true */
  readonly hasDeployment?: boolean;
  /** Grace period for shutting down. @default 2000 */
  readonly graceMs?: number;
  /** Time within which revoked keys must no longer be used. @default unlimited */
  readonly keyWithdrawalMs?: number | undefined;
  /** Further records that the store holds from the start, by key. @default none */
  readonly records?: Readonly<Record<string, unknown>>;
};

const ENGINE_IP = '127.0.0.2';

/** Ports below those that the kernel gives to outgoing connections, which took a port between its check and its use. */
const FIRST_PORT = 15_000;

const PORT_COUNT = 17_000;

function isFree(port: number, ip: string): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

/** Returns a port that is free now on the addresses of entries and engines. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if ((await isFree(port, '127.0.0.1')) && (await isFree(port, ENGINE_IP))) return port;
  }
}

/** Returns a log that keeps its lines. */
export function collectLog(): Pick<ServingWorld, 'lines' | 'logged'> & { readonly log: Log } {
  const lines: LogLine[] = [];
  const emitter = new EventEmitter();
  const log: Log = (event, fields = {}) => {
    lines.push({ event, fields, at: performance.now() });
    emitter.emit('line');
  };
  const logged: ServingWorld['logged'] = async (matches) => {
    for (;;) {
      const line = lines.find(matches);
      if (line !== undefined) return line;
      await once(emitter, 'line');
    }
  };
  return { lines, log, logged };
}

/**
 * Sends a request to a gateway; resolves once its response has ended, complete or not.
 *
 * @param ip Address of the gateway. @default '127.0.0.1'
 */
export function callGateway(
  port: number,
  call: CallerCall,
  ip = '127.0.0.1',
): Promise<CallerResult> {
  const { id, path, method = 'POST', headers = {}, body = '', signal } = call;
  return new Promise((resolve, reject) => {
    const request = httpRequest(
      {
        host: ip,
        port,
        path,
        method,
        agent: false,
        headers: { host: 'house.example', 'x-request-id': id, 'x-deadline-ms': '4000', ...headers },
        ...(signal === undefined ? {} : { signal }),
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.once('close', () => {
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString('utf8'),
            isComplete: response.complete,
          });
        });
      },
    );
    request.once('error', reject);
    request.end(body);
  });
}

/** Starts a gateway, a keeper, and stand-ins for an engine, two plain backend servers and a store on loopback. */
export async function startServingWorld(options: ServingWorldOptions = {}): Promise<ServingWorld> {
  const { hasDeployment = true, graceMs = 2000, keyWithdrawalMs, records = {} } = options;
  const store = new StoreStandin();
  const storeAddress = await store.listen();
  const engine = new BackendServerStandin({ id: 'i-engine', ip: ENGINE_IP, model: 'm' });
  const apps = ['i-app-1', 'i-app-2'].map((id) => new BackendServerStandin({ id }));
  await Promise.all([engine, ...apps].map((server) => server.listen()));
  if (hasDeployment) store.putDeployment(sampleDeployment(options));
  Object.entries(records).forEach(([key, value]) => store.put(key, value));
  store.putServer('i-engine', engine.record('llm'));
  apps.forEach((app, index) => store.putServer(`i-app-${index + 1}`, app.record('app')));
  const { lines, log, logged } = collectLog();
  const readinessPort = await freePort();
  const settings: ProcessSettings = {
    host: 'h1',
    ip: '127.0.0.1',
    availabilityZone: 'z1',
    callerAddress: '127.0.0.1:0',
    readinessAddress: `127.0.0.1:${readinessPort}`,
    linkPort: await freePort(),
    seeds: [],
    storeAddress,
    graceMs,
    retryShare: 0.2,
    retrySlack: 200,
    configurationDelayMs: 2000,
    ...(keyWithdrawalMs === undefined ? {} : { keyWithdrawalMs }),
    tokenLimitBounds: { windowMs: 8000, overage: 0, slack: 0 },
    hasSlowReaders: false,
    memoryMb: 350,
    cpuShare: 0.5,
  };
  const keeper = await startKeeper(
    { ...settings, host: 'h2', ip: ENGINE_IP, backendAddress: engine.address },
    log,
  );
  const gateway = await startGateway(settings, log);
  if (hasDeployment) {
    await logged(({ event }) => event === 'keeperReady');
    await logged(({ fields }) => fields.server === 'i-app-2');
  }
  return {
    store,
    engine,
    apps,
    gateway,
    lines,
    logged,
    call: (call) => callGateway(gateway.callerPort, call),
    isReady: async () => {
      const probe = { id: 'probe', path: READINESS_PATH, method: 'GET' };
      const { status } = await callGateway(readinessPort, probe);
      return status === 200;
    },
    close: async () => {
      await Promise.all([gateway.leave(), keeper.leave()]);
      await Promise.all([store, engine, ...apps].map((standin) => standin.close()));
    },
  };
}
