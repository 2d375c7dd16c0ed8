/* eslint-disable @typescript-eslint/explicit-module-boundary-types -- plain JavaScript, so that nothing is built */
// The real processes, started with the commands of the deploy file, and their settings.
import { spawn } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { addressOf, freePort, REPOSITORY } from './base.mjs';

const CONTRACTS = 'base drain config cost retry recover fleet stream engine platform'.split(' ');

/** The bounds and limits of the smallest installation. */
const BOUNDS = {
  'seed-lag-s': 3,
  'reuse-after-s': 2,
  'stable-window-ms': 3000,
  'ack-ms': 4000,
  'catch-up-s': 4,
  'drain-ms': 2000,
  'grace-s': 8,
  'loss-slack-ms': 200,
  'config-apply-ms': 2000,
  'rollback-slack-ms': 250,
  'max-stretch-ms': 5000,
  'budget-ratio': 0.2,
  'budget-window-s': 10,
  'retry-slack': 54,
  'recovery-s': 12,
  'pass-ms': 120,
  'retry-after-s': 0,
  'fence-checked': true,
  'lease-ms': 3000,
  'thaw-slack-ms': 300,
};

const LIMITS = {
  'cpu-share': 0.513,
  cores: 1,
  'memory-mb': 350,
  'max-fds': 4100,
  'link-mbps': 1000,
  'disk-mb': 0,
};

function settingsOf({
  name,
  ip,
  zone,
  listen,
  seeds,
  store,
  contracts = CONTRACTS,
  limits = LIMITS,
}) {
  return {
    'node-name': name,
    role: 'entry',
    'machine-class': 'front',
    serves: ['front', 'control'],
    ip,
    zone,
    region: 'r1',
    zones: { z1: 'r1', z2: 'r1' },
    listen,
    'internal-ports': [7380, 7395],
    seeds,
    'first-start': true,
    'counts-as-loss': false,
    limits,
    'data-dir': null,
    discovery: 'platform',
    entry: 'vip',
    'beat-interval-ms': 1200,
    contracts,
    tolerate: { machines: 2, zones: 0, regions: 0 },
    bounds: BOUNDS,
    platform: { address: store.address, form: 'read', 'history-s': 20, 'value-bytes': 1_048_576 },
  };
}

/** The processes that run; they end with this one, however it ends. */
const running = new Set();

process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')));
process.on('SIGTERM', () => process.exit(2));
process.on('SIGINT', () => process.exit(2));

/** A process of the project. */
export class Program {
  constructor(role, settings, folder) {
    Object.assign(this, { role, settings, folder, output: '' });
  }

  start() {
    const path = join(this.folder, `${this.settings['node-name']}.yaml`);
    writeFileSync(path, JSON.stringify(this.settings));
    this.exit = undefined;
    this.child = spawn(
      process.execPath,
      ['--max-old-space-size=200', 'target/hyssopspread.cjs', this.role],
      {
        cwd: REPOSITORY,
        stdio: ['ignore', 'pipe', 'pipe'],
        env: { PATH: process.env.PATH, LANG: 'C', HYSSOPSPREAD_NODE_FILE: path },
      },
    );
    const { child } = this;
    running.add(child);
    this.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        running.delete(child);
        this.exit = { code, signal };
        resolve();
      });
    });
    [this.child.stdout, this.child.stderr].forEach((stream) =>
      stream.on('data', (data) => {
        this.output += data;
      }),
    );
  }

  kill(signal) {
    this.child.kill(signal);
  }

  async stop() {
    if (this.exit !== undefined) return;
    this.kill('SIGKILL');
    await this.ended;
  }
}

/** Returns an entry that is not started yet: its process, its addresses and its ports. */
export async function newEntry({ folder, store, number = 10, zone = 'z1', ...more }) {
  const ip = addressOf(number);
  const ports = more.ports ?? {
    front: await freePort(ip),
    ready: await freePort(ip),
    control: await freePort(ip),
  };
  const listen = Object.fromEntries(
    Object.entries(ports).map(([name, port]) => [name, `${ip}:${port}`]),
  );
  const { seeds = [listen.control], contracts, limits } = more;
  const name = `front-${number}`;
  const settings = settingsOf({ name, ip, zone, listen, seeds, store, contracts, limits });
  return { program: new Program('entry', settings, folder), listen, ports };
}

/** Returns a configuration of the operator. */
export function configuration({ version = 7, routes, services }) {
  return {
    version,
    routes,
    services: services ?? [{ name: 'app', 'health-path': '/health', 'max-connections': 100 }],
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 4_194_304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15_000,
    },
  };
}
