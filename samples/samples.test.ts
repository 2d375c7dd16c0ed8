import {
  copyFileSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { request } from 'undici';
import { ServerSentEventParser } from '../http/mod.ts';
import { buildBundleIfAbsent, ProgramProcess } from '../programs/testing/spawnProgram.ts';

const ENVIRONMENT = { HYSSOPSPREAD_LINK_KEY: 'replace-me-with-32-random-characters-0123' };

/** A loopback address derived from the process id, so that the samples' ports are free on it. */
const LOOPBACK = `127.${[16, 8, 0].map((shift) => Math.floor(process.pid / 2 ** shift) % 256).join('.')}`;

type Deployment = {
  readonly name: string;
  readonly port: number;
  readonly service: string;
  readonly token: string;
  readonly route: string;
  readonly servedBy: string;
};

const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'ixchel',
    port: 8080,
    service: 'loans',
    token: 'reading-room-token-please-replace',
    route: 'ixchel/draft',
    servedBy: 'ixchel/parroquias@2',
  },
  {
    name: 'anadolu',
    port: 9080,
    service: 'bench-slots',
    token: 'panel-maker-token-please-replace',
    route: 'anadolu/explain',
    servedBy: 'anadolu/fin-pitch@2',
  },
];

/** Copies the samples to a folder, on another loopback address and with JSON logs. */
function copySamples(target: string): void {
  readdirSync('samples').forEach((file) => {
    if (!file.endsWith('.ini')) return;
    copyFileSync(join('samples', file), join(target, file));
    const text = readFileSync(join(target, file), 'utf8');
    writeFileSync(
      join(target, file),
      text.replaceAll('127.0.0.1', LOOPBACK).replace('format = text', 'format = json'),
    );
  });
}

describe('samples', () => {
  let folder: string;
  let processes: ProgramProcess[];

  beforeEach(() => {
    buildBundleIfAbsent();
    folder = mkdtempSync(join(tmpdir(), 'hyssopspread-samples-'));
    copySamples(folder);
    processes = [];
  });

  afterEach(async () => {
    await Promise.all(processes.map((each) => each.kill()));
    rmSync(folder, { recursive: true });
  });

  const start = (command: string, file: string): ProgramProcess => {
    const program = new ProgramProcess([command, '--settings', join(folder, file)], ENVIRONMENT);
    processes.push(program);
    return program;
  };

  DEPLOYMENTS.forEach(({ name, port, service, token, route, servedBy }) => {
    it(`of ${name} start together and serve a completion from the sample set`, async () => {
      await start('standins', `${name}-standins.ini`).event('HS1001');
      const sidecars = [`${name}-sidecar.ini`, `${name}-${service}-sidecar.ini`];
      await Promise.all(sidecars.map((file) => start('sidecar', file).event('HS2001')));
      const entry = start('entry', `${name}-entry.ini`);
      await entry.event('HS2001');
      const peers = ['engine-1', service];
      await Promise.all(peers.map((host) => entry.event('HS3001', ({ peer }) => peer === host)));
      const response = await request(`http://${LOOPBACK}:${port}/v1/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${token}` },
        body: JSON.stringify({ model: route, prompt: 'x', max_tokens: 2, stream: true }),
      });
      const events = new ServerSentEventParser().push(
        Buffer.from(await response.body.arrayBuffer()),
      );
      expect(response.headers['hyssopspread-served-by']).to.equal(servedBy);
      expect(events.at(-1)).to.equal('[DONE]');
    });
  });
});
