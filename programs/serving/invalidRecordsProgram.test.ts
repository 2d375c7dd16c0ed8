import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { READINESS_PATH } from '../../platform/mod.ts';
import {
  BackendServerStandin,
  sampleDeployment,
  StoreStandin,
} from '../../platform/testing/mod.ts';
import { bundleServing } from '../../tools/build/bundle.ts';
import { INVALID_RECORDS } from './testing/invalidRecords.ts';
import { callGateway } from './testing/servingWorld.ts';
import type { CallerResult } from './testing/servingWorld.ts';
import { pickLoopbackAddress, startServingProgram } from './testing/servingProgram.ts';
import type { ServingProgram } from './testing/servingProgram.ts';

/** Memory that an entry has on the smallest host, in kilobytes. */
const MAX_MEMORY_KB = 350 * 1024;

/** Time within which a change in the store takes effect. */
const APPLY_MS = 2000;

describe('a built entry while another writer puts invalid records into the store', () => {
  let directory: string;

  let loader: string;

  let store: StoreStandin;

  let servers: readonly BackendServerStandin[];

  let program: ServingProgram;

  before(async () => {
    directory = mkdtempSync(join(tmpdir(), 'hyssopspread-'));
    loader = await bundleServing(directory);
  });

  after(() => rmSync(directory, { recursive: true }));

  function call(id: string): Promise<CallerResult> {
    return callGateway(program.callerPort, { id, path: `/book/${id}` }, program.ip);
  }

  async function isReady(): Promise<boolean> {
    const question = { id: 'q', path: READINESS_PATH, method: 'GET' };
    const { status } = await callGateway(program.readinessPort, question, program.ip);
    return status === 200;
  }

  function putAll(suffix: string): void {
    Object.values(INVALID_RECORDS).forEach(([key, value], index) =>
      store.put(`${key}${suffix}${index}`, value),
    );
  }

  beforeEach(async () => {
    store = new StoreStandin();
    servers = ['i-1', 'i-2'].map((id) => new BackendServerStandin({ id }));
    await Promise.all(servers.map((server) => server.listen()));
    store.putDeployment(sampleDeployment());
    store.putServer('i-1', servers[0]!.record('app'));
    putAll('before');
    const storeAddress = await store.listen();
    program = await startServingProgram({ loader, storeAddress, ip: pickLoopbackAddress() });
    while (!(await isReady())) await sleep(20);
  });

  afterEach(async () => {
    await program.close();
    await Promise.all([store, ...servers].map((standin) => standin.close()));
  });

  // Guards against processes that end by themselves, or stop to follow the store.
  it('goes on, stays within its memory and follows the changes of sound servers', async () => {
    for (let round = 0; round < 6; round += 1) {
      const [joining, leaving] = round % 2 === 0 ? [1, 0] : [0, 1];
      putAll(`round-${round % 3}-`);
      store.putServer(`i-${joining + 1}`, servers[joining]!.record('app'));
      store.removeServer(`i-${leaving + 1}`);
      if (round === 3) store.compact();
      await sleep(APPLY_MS);
      const before = servers.map(({ runs }) => runs.length);
      const results = await Promise.all([0, 1, 2].map((number) => call(`r${round}-${number}`)));
      expect(results.map(({ status }) => status)).to.deep.equal([200, 200, 200]);
      expect(servers[joining]!.runs.length - before[joining]!).to.equal(3);
      expect(program.child.exitCode).to.equal(null);
    }
    const status = readFileSync(`/proc/${program.child.pid}/status`, 'utf8');
    expect(Number(/VmHWM:\s+(\d+)/.exec(status)?.[1])).to.be.below(MAX_MEMORY_KB);
    expect(program.output()).to.not.include('HS1004');
  });
});
