import { mkdtempSync, rmSync } from 'node:fs';
import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { once } from 'node:events';
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
import { callGateway } from './testing/servingWorld.ts';
import { pickLoopbackAddress, startServingProgram } from './testing/servingProgram.ts';
import type { ServingProgram } from './testing/servingProgram.ts';

const TIMEOUT_MS = 1000;

/** Time after its timeout within which a request must be answered. */
const MAX_LATE_MS = 500;

/** Headers of a response to the request, with the proof of its server. */
const OWN_HEADERS = 'X-Request-Id: ID\r\nX-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n';

/** Heads of responses that are none, after which the connection stays open. */
const MALFORMED_HEADS: Readonly<Record<string, string>> = {
  'status 000': 'HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok',
  'status 050': 'HTTP/1.1 050 OK\r\nContent-Length: 2\r\n\r\nok',
  'status 099': 'HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok',
  'status 101': 'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
  'status 999': 'HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok',
  'two lengths': 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nok',
  'a negative length': 'HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok',
  'a length that is too large': `HTTP/1.1 200 OK\r\nContent-Length: ${'9'.repeat(30)}\r\n\r\nok`,
  'an invalid chunk': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n',
  'another protocol': 'SSH-2.0-OpenSSH_9.6\r\n',
  'random bytes': '\u0000\u0001\u0016\u0003\u0001\r\n\r\n',
  'a header without a name': 'HTTP/1.1 200 OK\r\n: x\r\n\r\n',
  'status 000 with proof': `HTTP/1.1 000 OK\r\n${OWN_HEADERS}Content-Length: 2\r\n\r\nok`,
  'status 000 with proof before a response': `HTTP/1.1 000 OK\r\n${OWN_HEADERS}\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n`,
  'status 099 with proof': `HTTP/1.1 099 OK\r\n${OWN_HEADERS}Content-Length: 0\r\n\r\n`,
  'status 600 with proof': `HTTP/1.1 600 OK\r\n${OWN_HEADERS}Content-Length: 2\r\n\r\nok`,
  'status 999 with proof': `HTTP/1.1 999 OK\r\n${OWN_HEADERS}Content-Length: 2\r\n\r\nok`,
  'interim responses': 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(2000),
};

/** Statuses that an entry may answer with. */
const ANSWER_STATUSES: readonly number[] = [200, 502, 503, 504];

type Answer = { readonly status: number; readonly tookMs: number };

describe('a built entry whose server sends bytes that are no response', () => {
  let directory: string;

  let loader: string;

  let store: StoreStandin;

  let sound: BackendServerStandin;

  let faulty: Server;

  let program: ServingProgram;

  let head = '';

  async function timed(call: Promise<{ readonly status: number }>): Promise<Answer> {
    const sentAt = performance.now();
    const { status } = await call.catch(() => ({ status: 0 }));
    return { status, tookMs: performance.now() - sentAt };
  }

  function ask(): Promise<Answer> {
    const { readinessPort, ip } = program;
    return timed(callGateway(readinessPort, { id: 'q', path: READINESS_PATH, method: 'GET' }, ip));
  }

  before(async () => {
    directory = mkdtempSync(join(tmpdir(), 'hyssopspread-'));
    loader = await bundleServing(directory);
  });

  after(() => rmSync(directory, { recursive: true }));

  beforeEach(async () => {
    store = new StoreStandin();
    sound = new BackendServerStandin({ id: 'i-sound' });
    sound.delayMs = 40;
    faulty = createServer((socket) => {
      socket.on('error', () => undefined);
      // Slower than the sound server, which would get no request otherwise.
      socket.on('data', (chunk) => {
        const id = /x-request-id: (\S+)/i.exec(chunk.toString('latin1'))?.[1] ?? '';
        setTimeout(() => socket.write(head.replaceAll('ID', id)), 60);
      });
    });
    faulty.listen(0, '127.0.0.1');
    await Promise.all([once(faulty, 'listening'), sound.listen()]);
    const bound = faulty.address();
    const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
    store.putDeployment(sampleDeployment({ timeoutMs: TIMEOUT_MS }));
    store.putServer('i-sound', sound.record('app'));
    store.putServer('i-faulty', {
      ...(sound.record('app') as object),
      address: `127.0.0.1:${port}`,
    });
    const storeAddress = await store.listen();
    program = await startServingProgram({ loader, storeAddress, ip: pickLoopbackAddress() });
    while ((await ask()).status !== 200) await sleep(20);
  });

  afterEach(async () => {
    await program.close();
    faulty.close();
    await Promise.all([store.close(), sound.close()]);
  });

  // Guards against an error whose formatting holds the event loop for seconds.
  Object.entries(MALFORMED_HEADS).forEach(([name, text]) => {
    it(`answers all others and the readiness probe in time (${name})`, async () => {
      head = text;
      const questions: Promise<Answer>[] = [];
      const calls: Promise<Answer>[] = [];
      for (let number = 0; number < 20; number += 1) {
        const call = { id: `r${number}`, path: `/book/${number}` };
        calls.push(timed(callGateway(program.callerPort, call, program.ip)));
        questions.push(ask());
        await sleep(20);
      }
      const answers = await Promise.all(calls);
      const slowest = Math.max(...answers.map(({ tookMs }) => tookMs));
      expect(slowest).to.be.below(TIMEOUT_MS + MAX_LATE_MS);
      expect(answers.some(({ status }) => status === 200)).to.equal(true);
      // A status that HTTP does not define must not reach a caller.
      expect(ANSWER_STATUSES).to.include.members(answers.map(({ status }) => status));
      const probes = await Promise.all(questions);
      expect(probes.every(({ status }) => status === 200)).to.equal(true);
      expect(Math.max(...probes.map(({ tookMs }) => tookMs))).to.be.below(MAX_LATE_MS);
    });
  });
});
