import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { sha256 } from '../../core/set/mod.ts';
import { buildBundleIfAbsent, ProgramProcess } from './spawnProgram.ts';

/** The bearer token of the fleet's caller. */
export const FLEET_TOKEN = 'fleet-caller-token';

const ENVIRONMENT = { FLEET_LINK_KEY: 'fleet-link-key-0123456789-abcdefghij' };

const ENGINES = ['engine-1', 'engine-2'] as const;

function setText(engines: readonly string[]): string {
  return [
    '[tenant t]',
    '[caller c]\ntenant = t',
    `token_sha256 = ${sha256(FLEET_TOKEN)}`,
    '[base_model m]',
    '[pool p]\nbase_model = m\npolicy = load-stalls\nslots = 4',
    'loads_per_second = 1000\nloads_at_once = 100',
    '[adapter t/a]\npool = p\nversions = 1, 2',
    '[service t/s]',
    ...engines.map((name) => `[backend_server ${name}]\npool = p`),
    '[backend_server service-1]\nservice = t/s',
  ].join('\n');
}

function standinsText(engines: readonly string[], engineSettings: string): string {
  const listen = engines.map(() => '127.0.0.1:0').join(', ');
  return [
    '[platform]\nlisten = 127.0.0.1:0\nset = set.ini',
    '[store]\nloads_per_second = 1000\nloads_at_once = 100',
    `[engines]\nlisten = ${listen}\nslots = 4\n${engineSettings}`,
    '[service]\nlisten = 127.0.0.1:0',
  ].join('\n');
}

const PROCESS_STARTED = 'HS1001';
const SET_TAKEN = 'HS2001';
const LINK_READY = 'HS3001';

function processSettings(host: string, platform: string, rest: string): string {
  return [
    `[process]\nhost = ${host}\navailability_zone = az-1`,
    `[platform]\nconfiguration = ${platform}\nhost_list = ${platform}`,
    '[link]\nkey_env = FLEET_LINK_KEY',
    rest,
  ].join('\n');
}

/** How to start a fleet. */
export type ProcessFleetOptions = {
  /** Names of the engines' hosts. @default ['engine-1', 'engine-2'] */
  readonly engines?: readonly string[];
  /** Further lines of `[engines]` in the stand-ins' settings. @default '' */
  readonly engineSettings?: string;
  /** Further lines of the entry's settings. @default '' */
  readonly entrySettings?: string;
  /** Returns the port at which entries reach a sidecar that listens on `port`. */
  readonly relay?: (host: string, port: number) => Promise<number>;
};

/** Stand-ins, a sidecar for each engine and the service, and an entry, each a separate process. */
export class ProcessFleet {
  readonly #folder = mkdtempSync(join(tmpdir(), 'hyssopspread-'));

  readonly #processes: ProgramProcess[] = [];

  readonly sidecars = new Map<string, ProgramProcess>();

  entry!: ProgramProcess;

  /** URL of the first engine. */
  engineUrl = '';

  /** URL for callers. */
  url = '';

  /** Starts all processes and waits until the entry's links are ready. */
  static async start(options: ProcessFleetOptions = {}): Promise<ProcessFleet> {
    buildBundleIfAbsent();
    const fleet = new ProcessFleet();
    await fleet.#start(options);
    return fleet;
  }

  /** Kills all processes. */
  async stop(): Promise<void> {
    await Promise.all(this.#processes.map((each) => each.kill()));
    rmSync(this.#folder, { recursive: true });
  }

  async #start(options: ProcessFleetOptions): Promise<void> {
    const { relay, engines = ENGINES, engineSettings = '', entrySettings = '' } = options;
    writeFileSync(join(this.#folder, 'set.ini'), setText(engines));
    const standinsSettings = standinsText(engines, engineSettings);
    const standins = await this.#spawn('standins', 'standins', standinsSettings).event(
      PROCESS_STARTED,
    );
    const platform = `http://127.0.0.1:${standins.platformPort}`;
    const enginePorts = String(standins.enginePorts).split(' ');
    this.engineUrl = `http://127.0.0.1:${enginePorts[0]}`;
    engines.forEach((host, index) =>
      this.#spawnSidecar(host, platform, 'engine', String(enginePorts[index])),
    );
    this.#spawnSidecar('service-1', platform, 'service', String(standins.servicePort));
    const hosts = await Promise.all(
      [...this.sidecars].map(async ([host, sidecar]) => {
        const { linksPort } = await sidecar.event(PROCESS_STARTED);
        await sidecar.event(SET_TAKEN);
        const port = relay === undefined ? linksPort : await relay(host, Number(linksPort));
        const address = `127.0.0.1:${port}`;
        return { host, role: 'sidecar', address, availabilityZone: 'az-1', state: 'live' };
      }),
    );
    await request(`${platform}/v1/hosts`, { method: 'PUT', body: JSON.stringify(hosts) });
    const listen = '[listen]\ncallers = 127.0.0.1:0\nadmin = 127.0.0.1:0';
    const settings = processSettings('entry-1', platform, `${listen}\n${entrySettings}`);
    this.entry = this.#spawn('entry', 'entry-1', settings);
    const { callersPort } = await this.entry.event(PROCESS_STARTED);
    this.url = `http://127.0.0.1:${callersPort}`;
    await this.entry.event(SET_TAKEN);
    await Promise.all(hosts.map(({ host }) => this.linkReady(host)));
  }

  /** Waits until the entry logs, from the log line at index `after` on, that its link to a host is ready. */
  async linkReady(host: string, after = 0): Promise<void> {
    await this.entry.event(LINK_READY, ({ peer }) => peer === host, after);
  }

  #spawnSidecar(host: string, platform: string, kind: string, port: string): void {
    const url = `http://127.0.0.1:${port}`;
    const settings = processSettings(
      host,
      platform,
      [
        '[listen]\nlinks = 127.0.0.1:0\nadmin = 127.0.0.1:0',
        `[backend]\nkind = ${kind}\nbackend_server = ${host}\nurl = ${url}`,
      ].join('\n'),
    );
    this.sidecars.set(host, this.#spawn('sidecar', host, settings));
  }

  #spawn(command: string, name: string, settings: string): ProgramProcess {
    const file = join(this.#folder, `${name}.ini`);
    writeFileSync(file, settings);
    const program = new ProgramProcess([command, '--settings', file], ENVIRONMENT);
    this.#processes.push(program);
    return program;
  }
}
