import { mkdtempSync, rmSync } from 'node:fs';
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
import { CROWDS, openDescriptors, peakMemoryMb, withCrowd } from '../testing/crowd.ts';
import { callGateway } from './testing/servingWorld.ts';
import { pickLoopbackAddress, startServingProgram } from './testing/servingProgram.ts';
import type { ServingProgram } from './testing/servingProgram.ts';

const MEMORY_MB = 210;

const LIMITS = {
  'max-header-bytes': 16_384,
  'max-body-bytes': 4_194_304,
  'header-timeout-ms': 3000,
  'idle-timeout-ms': 15_000,
};

const MAX_DESCRIPTORS = 1000;

// Guards against crowds of clients that made an entry run out of memory, or kept it from all other work.
describe('a built entry with a crowd of clients that do not behave', () => {
  let directory: string;

  let loader: string;

  let store: StoreStandin;

  let server: BackendServerStandin;

  let program: ServingProgram;

  before(async () => {
    directory = mkdtempSync(join(tmpdir(), 'hyssopspread-'));
    loader = await bundleServing(directory);
  });

  after(() => rmSync(directory, { recursive: true }));

  async function isReady(): Promise<boolean> {
    const question = { id: 'q', path: READINESS_PATH, method: 'GET' };
    const { status } = await callGateway(program.readinessPort, question, program.ip);
    return status === 200;
  }

  /** Sends a request as a caller does that comes back when it is refused. */
  async function callUntilAnswered(): Promise<number> {
    for (let attempt = 0; ; attempt += 1) {
      const call = { id: `ordinary-${attempt}`, path: '/book/ordinary', body: 'a page' };
      const { status } = await callGateway(program.callerPort, call, program.ip);
      if (status !== 503 && status !== 429) return status;
      await sleep(500);
    }
  }

  beforeEach(async () => {
    store = new StoreStandin();
    server = new BackendServerStandin({ id: 'i-1' });
    await server.listen();
    store.putDeployment({ ...(sampleDeployment() as object), limits: LIMITS });
    store.putServer('i-1', server.record('app'));
    const storeAddress = await store.listen();
    const ip = pickLoopbackAddress();
    program = await startServingProgram({ loader, storeAddress, ip, memoryMb: MEMORY_MB });
    while (!(await isReady())) await sleep(20);
  });

  afterEach(async () => {
    await program.close();
    await Promise.all([store, server].map((standin) => standin.close()));
  });

  Object.entries(CROWDS).forEach(([name, crowd]) => {
    it(`goes on, stays within its memory and answers others (${name})`, async () => {
      const target = {
        ip: program.ip,
        port: program.callerPort,
        path: '/book/crowd',
        emptyPath: '/look/crowd',
      };
      await withCrowd(crowd, target, async () => {
        expect(await callUntilAnswered()).to.equal(200);
        expect(program.child.exitCode).to.equal(null);
        expect(program.child.signalCode).to.equal(null);
        expect(peakMemoryMb(program.child.pid!)).to.be.below(MEMORY_MB);
        expect(openDescriptors(program.child.pid!)).to.be.below(MAX_DESCRIPTORS);
      });
    });
  });
});
