import type { Log } from '../../../log/mod.ts';
import type { ProcessSettings } from '../../../platform/mod.ts';
import {
  BackendServerStandin,
  sampleDeployment,
  StoreStandin,
} from '../../../platform/testing/mod.ts';
import type { SampleOptions } from '../../../platform/testing/mod.ts';
import { startGateway } from '../startGateway.ts';
import type { ServingProcess } from '../startGateway.ts';
import { startKeeper } from '../startKeeper.ts';
import { callGateway, collectLog, freePort } from './servingWorld.ts';
import type { CallerCall, CallerResult, ServingWorld } from './servingWorld.ts';

/** One entry of a fleet, with its log. */
export type FleetEntry = Pick<ServingWorld, 'lines' | 'logged'> & {
  readonly gateway: ServingProcess;
  readonly call: (call: CallerCall) => Promise<CallerResult>;
};

/** Entries that gossip, a store, plain servers, and engines with a keeper each, on loopback. */
export type EntryFleet = {
  readonly store: StoreStandin;
  /** Plain backend servers and engines. */
  readonly servers: readonly BackendServerStandin[];
  readonly entries: readonly FleetEntry[];
  /**
   * Starts a further entry.
   *
   * @param listed Numbers of the plain servers that it waits for. @default all
   */
  readonly addEntry: (listed?: readonly number[]) => Promise<FleetEntry>;
  /** Ends all entries at once, and breaks off what they serve. */
  readonly endEntries: () => Promise<void>;
  readonly close: () => Promise<void>;
};

/** Options of `startEntryFleet`. */
export type EntryFleetOptions = {
  readonly entries: number;
  /** Number of plain backend servers. */
  readonly plainServers: number;
  /** Number of engines. */
  readonly engines: number;
  /** Returns the software version of a plain server, which also stands in the events of its streams. @default 'v1' */
  readonly versionOf?: (number: number) => string;
  /** Grace period for shutting down. @default 200 */
  readonly graceMs?: number;
  /** Changes of the configuration that the store holds at first. */
  readonly deployment?: SampleOptions;
  /** Time within which revoked keys must no longer be used. @default unlimited */
  readonly keyWithdrawalMs?: number | undefined;
};

function isAddressInUse(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'EADDRINUSE';
}

/** Starts a gateway; tries another port when the one for gossip was taken in the meantime. */
async function startOnFreePort(
  settings: ProcessSettings,
  log: Log,
): Promise<{ readonly gateway: ServingProcess; readonly peerAddress: string }> {
  for (;;) {
    const peerAddress = `127.0.0.1:${await freePort()}`;
    try {
      return { gateway: await startGateway({ ...settings, peerAddress }, log), peerAddress };
    } catch (error) {
      if (!isAddressInUse(error)) throw error;
    }
  }
}

/** Starts a fleet and waits until each entry knows all servers and keepers. */
export async function startEntryFleet(options: EntryFleetOptions): Promise<EntryFleet> {
  const store = new StoreStandin();
  const storeAddress = await store.listen();
  const numbers = (count: number): readonly number[] => Array.from({ length: count }, (_, i) => i);
  const engines = numbers(options.engines).map((number) => {
    const ip = `127.0.0.${11 + number}`;
    return { ip, server: new BackendServerStandin({ id: `i-engine-${number}`, ip, model: 'm' }) };
  });
  const plainServers = numbers(options.plainServers).map(
    (number) => new BackendServerStandin({ id: `i-app-${number}` }),
  );
  plainServers.forEach((server, number) => {
    server.version = options.versionOf?.(number) ?? 'v1';
    server.eventText = server.version;
  });
  const servers = [...plainServers, ...engines.map(({ server }) => server)];
  await Promise.all(servers.map((server) => server.listen()));
  store.putDeployment(sampleDeployment(options.deployment));
  engines.forEach(({ server }, number) => {
    store.putServer(`i-engine-${number}`, server.record('llm'));
  });
  plainServers.forEach((server, number) => {
    store.putServer(`i-app-${number}`, server.record('app'));
  });
  const seed = `127.0.0.1:${await freePort()}`;
  const shared: Omit<ProcessSettings, 'host' | 'ip'> = {
    availabilityZone: 'z1',
    callerAddress: '127.0.0.1:0',
    readinessAddress: '127.0.0.1:0',
    linkPort: await freePort(),
    seeds: [seed],
    storeAddress,
    graceMs: options.graceMs ?? 200,
    retryShare: 0.2,
    retrySlack: 200,
    configurationDelayMs: 2000,
    ...(options.keyWithdrawalMs !== undefined && { keyWithdrawalMs: options.keyWithdrawalMs }),
    tokenLimitBounds: { windowMs: 8000, overage: 0, slack: 0 },
    hasSlowReaders: false,
    memoryMb: 350,
    cpuShare: 0.5,
  };
  const keepers = await Promise.all(
    engines.map(({ ip, server }, number) => {
      const { address } = server;
      return startKeeper({ ...shared, host: `k${number}`, ip, backendAddress: address }, () => {});
    }),
  );
  const entries: FleetEntry[] = [];
  const ended = new Set<FleetEntry>();
  const peerAddresses: string[] = [];
  const plainNumbers = numbers(options.plainServers);
  const addEntry = async (listed = plainNumbers): Promise<FleetEntry> => {
    const { lines, log, logged } = collectLog();
    // The first seed may have stopped by now.
    const settings = {
      ...shared,
      host: `e${entries.length}`,
      ip: '127.0.0.1',
      seeds: [...peerAddresses],
    };
    const { gateway, peerAddress } =
      entries.length === 0
        ? {
            gateway: await startGateway({ ...settings, peerAddress: seed }, log),
            peerAddress: seed,
          }
        : await startOnFreePort(settings, log);
    peerAddresses.push(peerAddress);
    const entry: FleetEntry = {
      gateway,
      lines,
      logged,
      call: (call) => callGateway(gateway.callerPort, call),
    };
    entries.push(entry);
    await Promise.all(
      engines.map(({ ip }) =>
        logged(
          ({ event, fields }) => event === 'keeperReady' && String(fields.address).startsWith(ip),
        ),
      ),
    );
    await Promise.all(
      listed.map((number) => logged(({ fields }) => fields.server === `i-app-${number}`)),
    );
    return entry;
  };
  await addEntry();
  await Promise.all(numbers(options.entries - 1).map(() => addEntry()));
  const running = (): readonly FleetEntry[] => entries.filter((entry) => !ended.has(entry));
  const endEntries = async (): Promise<void> => {
    const ending = running();
    ending.forEach((entry) => ended.add(entry));
    await Promise.all(
      ending.map(({ gateway }) => {
        gateway.applySettings({ ...shared, host: '', ip: '127.0.0.1', graceMs: 0 });
        return gateway.leave();
      }),
    );
  };
  return {
    store,
    servers,
    entries,
    addEntry,
    endEntries,
    close: async () => {
      await Promise.all(running().map(({ gateway }) => gateway.leave()));
      await Promise.all(keepers.map((keeper) => keeper.leave()));
      await Promise.all([store, ...servers].map((standin) => standin.close()));
    },
  };
}
