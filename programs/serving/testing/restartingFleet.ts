import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { READINESS_PATH } from '../../../platform/mod.ts';
import { startTruncatingServer, StoreStandin } from '../../../platform/testing/mod.ts';
import type { TruncatingServer } from '../../../platform/testing/mod.ts';
import { pickLoopbackAddress, startServingProgram } from './servingProgram.ts';
import type { ServingProgram } from './servingProgram.ts';
import { callGateway } from './servingWorld.ts';
import { unframedDeployment } from './unframedDeployment.ts';

/** Options of `startRestartingFleet`. */
export type RestartingFleetOptions = {
  /** Path of the built loader. */
  readonly loader: string;
  /** Number of servers. @default 4 */
  readonly serverCount?: number;
};

/** Two built entries and truncating servers, all processes of their own that start again after they end. */
export type RestartingFleet = {
  /** The latest process of each entry. */
  readonly entries: readonly ServingProgram[];
  /** The latest process of each server. */
  readonly servers: readonly TruncatingServer[];
  /** Ends an entry with a signal and starts it again; resolves once it is ready. */
  readonly restartEntry: (index: number, signal: NodeJS.Signals) => Promise<void>;
  /** Resolves once all servers run and all entries are ready. */
  readonly recovered: () => Promise<void>;
  readonly close: () => Promise<void>;
};

async function ready(entry: ServingProgram): Promise<void> {
  const question = { id: 'q', path: READINESS_PATH, method: 'GET' };
  while ((await callGateway(entry.readinessPort, question, entry.ip)).status !== 200) {
    await sleep(20);
  }
}

/** Starts entries and servers; resolves once the entries are ready. */
export async function startRestartingFleet(
  options: RestartingFleetOptions,
): Promise<RestartingFleet> {
  const { loader, serverCount = 4 } = options;
  const store = new StoreStandin();
  const servers: TruncatingServer[] = [];
  const entries: ServingProgram[] = [];
  const running = new Set<number>();
  let isClosing = false;

  async function superviseServer(index: number): Promise<void> {
    for (let born = 1000; !isClosing; born += 1) {
      const server = await startTruncatingServer();
      servers[index] = server;
      store.putServer(`i-${index}`, server.record('app', born));
      running.add(index);
      if (isClosing) await server.close();
      await server.ended;
      running.delete(index);
    }
  }

  async function recovered(): Promise<void> {
    while (running.size < serverCount) await sleep(20);
    await Promise.all(entries.map(ready));
    const isKnown = ({ address }: TruncatingServer): boolean =>
      entries.every(({ output }) => output().includes(`"address":"${address}"`));
    while (!servers.every(isKnown)) await sleep(20);
  }

  store.putDeployment(unframedDeployment());
  const storeAddress = await store.listen();
  const supervised = Array.from({ length: serverCount }, (_, index) => superviseServer(index));

  function startEntry(seeds: readonly string[]): Promise<ServingProgram> {
    const ip = pickLoopbackAddress();
    // High enough for each request to be retried.
    return startServingProgram({ loader, storeAddress, ip, seeds, retryShare: 2 });
  }

  entries.push(await startEntry([]));
  entries.push(await startEntry(entries.map(({ peerAddress }) => peerAddress)));
  await recovered();

  return {
    entries,
    servers,
    recovered,
    restartEntry: async (index, signal) => {
      const { child, close } = entries[index]!;
      const ended = once(child, 'exit');
      child.kill(signal);
      await ended;
      await close();
      entries[index] = await startEntry([entries[1 - index]!.peerAddress]);
      await ready(entries[index]);
    },
    close: async () => {
      isClosing = true;
      await Promise.all(entries.map((entry) => entry.close()));
      servers.forEach((server) => server.signal('SIGKILL'));
      await Promise.all(supervised);
      await store.close();
    },
  };
}
