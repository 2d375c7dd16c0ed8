import { mkdtempSync, rmSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { Milliseconds } from '../../core/clock/mod.ts';
import { READINESS_PATH } from '../../platform/mod.ts';
import {
  BackendServerStandin,
  sampleDeployment,
  StoreStandin,
} from '../../platform/testing/mod.ts';
import { bundleServing } from '../../tools/build/bundle.ts';
import { startLeavingCrowd } from '../testing/leavingCrowd.ts';
import { throttleProcess } from '../testing/throttleProcess.ts';
import { callGateway } from './testing/servingWorld.ts';
import { pickLoopbackAddress, startServingProgram } from './testing/servingProgram.ts';
import type { ServingProgram } from './testing/servingProgram.ts';

const CALLERS = 12;

const PATIENCE_MS: Milliseconds = 2500;

const DURATION_MS: Milliseconds = 10_000;

/** Time between the requests on a connection that stays open. */
const KEPT_INTERVAL_MS: Milliseconds = 200;

/** Longest time for which a ready entry may answer nobody. */
const MAX_SILENCE_MS: Milliseconds = 4000;

/** Time within which an entry serves again once a crowd has gone. */
const MAX_RETURN_MS: Milliseconds = 2000;

describe('a built entry with a tenth of a processor', () => {
  const directory = mkdtempSync(join(tmpdir(), 'hyssopspread-'));

  let store: StoreStandin;

  let server: BackendServerStandin;

  let program: ServingProgram;

  let endThrottle: () => void;

  async function isReady(): Promise<boolean> {
    const question = { id: 'q', path: READINESS_PATH, method: 'GET' };
    return (await callGateway(program.readinessPort, question, program.ip)).status === 200;
  }

  async function call(id: string): Promise<boolean> {
    const signal = AbortSignal.timeout(PATIENCE_MS);
    const request = { id, path: '/book/patient', body: 'a page', signal };
    try {
      return (await callGateway(program.callerPort, request, program.ip)).status > 0;
    } catch {
      return false;
    }
  }

  /** Has patient callers call again and again; returns the longest time without an answer to any. */
  async function measureSilence(): Promise<Milliseconds> {
    const endAt = performance.now() + DURATION_MS;
    let answeredAt = performance.now();
    let longestMs = 0;
    const noteAnswer = (): void => {
      longestMs = Math.max(longestMs, performance.now() - answeredAt);
      answeredAt = performance.now();
    };
    const callers = Array.from({ length: CALLERS }, async (_, caller) => {
      for (let count = 0; performance.now() < endAt; count += 1) {
        if (await call(`patient-${caller}-${count}`)) noteAnswer();
        else await sleep(20);
      }
    });
    await Promise.all(callers);
    noteAnswer();
    return longestMs;
  }

  /** Sends requests on one connection; returns a function that ends it. */
  function startKeptConnection(): () => void {
    const socket = connect(program.callerPort, program.ip);
    socket.on('error', () => undefined).resume();
    const timer = setInterval(
      () => socket.write('GET /look/kept HTTP/1.1\r\nHost: house.example\r\n\r\n'),
      KEPT_INTERVAL_MS,
    );
    return () => {
      clearInterval(timer);
      socket.destroy();
    };
  }

  before(async () => {
    store = new StoreStandin();
    server = new BackendServerStandin({ id: 'i-1' });
    await server.listen();
    store.putDeployment(sampleDeployment());
    store.putServer('i-1', server.record('app'));
    const loader = await bundleServing(directory);
    const storeAddress = await store.listen();
    const ip = pickLoopbackAddress();
    program = await startServingProgram({ loader, storeAddress, ip, memoryMb: 210 });
    while (!(await isReady())) await sleep(20);
    endThrottle = throttleProcess(program.child.pid!, { runMs: 5, periodMs: 50 });
  });

  after(async () => {
    endThrottle();
    await program.close();
    await Promise.all([store, server].map((standin) => standin.close()));
    rmSync(directory, { recursive: true });
  });

  // Guards against a listen queue full of callers that have left, behind which all others wait in vain.
  it('answers patient callers beside a crowd that leaves soon, or says that it is not ready', async () => {
    const endKeptConnection = startKeptConnection();
    const crowd = startLeavingCrowd({
      ip: program.ip,
      port: program.callerPort,
      perSecond: 1500,
      leaveAfterMs: 100,
      request: 'POST /book/crowd HTTP/1.1\r\nHost: house.example\r\nContent-Length: 1\r\n\r\na',
    });
    const silenceMs = await measureSilence();
    const ready = await isReady();
    endKeptConnection();
    await crowd.terminate();
    expect(ready && silenceMs > MAX_SILENCE_MS, `silent for ${silenceMs} ms`).to.equal(false);
    const goneAt = performance.now();
    for (let count = 0; !(await call(`after-${count}`)); count += 1) await sleep(20);
    expect(performance.now() - goneAt).to.be.below(MAX_RETURN_MS);
  });
});
