import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SERVING_FLAGS } from '../../../tools/build/servingFlags.ts';

/** Options of `startServingProgram`. */
export type ServingProgramOptions = {
  /** Path of the built loader. */
  readonly loader: string;
  readonly storeAddress: string;
  /** Loopback address of the process, which no other process may have: its metrics port is fixed. */
  readonly ip: string;
  /** Gossip addresses of other entries. @default none */
  readonly seeds?: readonly string[];
  /** Memory of the process. @default unknown to the process */
  readonly memoryMb?: number;
  /** Retries allowed, as a share of the requests. @default 0.1 */
  readonly retryShare?: number;
};

/** A built entry that runs as a process of its own. */
export type ServingProgram = {
  readonly child: ChildProcess;
  readonly ip: string;
  readonly callerPort: number;
  readonly readinessPort: number;
  readonly peerAddress: string;
  /** What it has written to its log so far. */
  readonly output: () => string;
  /** Kills the process and removes its files. */
  readonly close: () => Promise<void>;
};

async function freePortOf(ip: string): Promise<number> {
  const server = createServer();
  server.listen(0, ip);
  await once(server, 'listening');
  const bound = server.address();
  server.close();
  await once(server, 'close');
  return typeof bound === 'object' && bound !== null ? bound.port : 0;
}

/** Returns a loopback address that is unlikely to be in use. */
export function pickLoopbackAddress(): string {
  const part = (): number => 1 + Math.floor(Math.random() * 250);
  return `127.${part()}.${part()}.${part()}`;
}

/** Starts a built entry as a process of its own; resolves once its log says that it has started. */
export async function startServingProgram(options: ServingProgramOptions): Promise<ServingProgram> {
  const { loader, storeAddress, ip, seeds = [], memoryMb = 0, retryShare } = options;
  const directory = mkdtempSync(join(tmpdir(), 'hyssopspread-'));
  const [callerPort, readinessPort, peerPort, linkPort] = await Promise.all([
    freePortOf(ip),
    freePortOf(ip),
    freePortOf(ip),
    freePortOf(ip),
  ]);
  const settings = {
    'node-name': `entry-${ip}`,
    ip,
    zone: 'z1',
    listen: {
      front: `${ip}:${callerPort}`,
      ready: `${ip}:${readinessPort}`,
      control: `${ip}:${peerPort}`,
    },
    'internal-ports': [linkPort],
    seeds,
    platform: { address: storeAddress },
    bounds: {
      'grace-s': 1,
      'retry-slack': 200,
      ...(retryShare !== undefined && { 'budget-ratio': retryShare }),
    },
    limits: { 'memory-mb': memoryMb },
  };
  const file = join(directory, 'node.yaml');
  writeFileSync(file, JSON.stringify(settings));
  const child = spawn(process.execPath, [...SERVING_FLAGS, loader, 'entry'], {
    env: { ...process.env, HYSSOPSPREAD_NODE_FILE: file },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const ended = once(child, 'exit');
  let output = '';
  child.stdout.on('data', (data: Buffer) => {
    output += data.toString();
  });
  while (!output.includes('HS1001')) await once(child.stdout, 'data');
  return {
    child,
    ip,
    callerPort,
    readinessPort,
    peerAddress: `${ip}:${peerPort}`,
    output: () => output,
    close: async () => {
      child.kill('SIGKILL');
      await ended;
      rmSync(directory, { recursive: true });
    },
  };
}
