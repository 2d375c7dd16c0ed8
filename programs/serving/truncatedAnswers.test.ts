import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { READINESS_PATH } from '../../platform/mod.ts';
import {
  ALL_EVENTS,
  ENDING_HEADER,
  EVENT_COUNT,
  EVENT_COUNT_HEADER,
  EVENT_INTERVAL_HEADER,
  startTruncatingServer,
  StoreStandin,
} from '../../platform/testing/mod.ts';
import type { ResponseEnding, TruncatingServer } from '../../platform/testing/mod.ts';
import { bundleServing } from '../../tools/build/bundle.ts';
import { throttleProcess } from '../testing/throttleProcess.ts';
import { callRaw } from './testing/rawCaller.ts';
import type { RawCall, RawResult } from './testing/rawCaller.ts';
import { callGateway } from './testing/servingWorld.ts';
import { pickLoopbackAddress, startServingProgram } from './testing/servingProgram.ts';
import type { ServingProgram } from './testing/servingProgram.ts';
import { PATHS, unframedDeployment, UPLOAD } from './testing/unframedDeployment.ts';

const CALLS = 20;

const EVENTS_BEFORE_END = 3;

const ALL = { [EVENT_COUNT_HEADER]: String(EVENT_COUNT) };

/** Streams at once; those of one of two servers are within the retries that a lone entry allows. */
const STREAMS = 4;

/** Streams that the entry writes when it is killed. */
const STREAMS_OF_ENTRY = 12;

/** High enough for each request to be retried. */
const RETRY_SHARE = 2;

/** Share of a processor of a slow entry. */
const SLOW = { runMs: 10, periodMs: 50 };

describe('a built entry with servers whose responses have no length', () => {
  let directory: string;

  let loader: string;

  let store: StoreStandin;

  let servers: TruncatingServer[];

  let program: ServingProgram;

  let sentCalls = 0;

  before(async () => {
    directory = mkdtempSync(join(tmpdir(), 'hyssopspread-'));
    loader = await bundleServing(directory);
  });

  after(() => rmSync(directory, { recursive: true }));

  async function isReady(): Promise<boolean> {
    const question = { id: 'q', path: READINESS_PATH, method: 'GET' };
    return (await callGateway(program.readinessPort, question, program.ip)).status === 200;
  }

  /** Sends a request whose first server ends its response in a given way. */
  function call(
    ending: ResponseEnding,
    options: Partial<RawCall> & { readonly path: string },
  ): Promise<RawResult> {
    sentCalls += 1;
    return callRaw(program.ip, program.callerPort, {
      id: `r${sentCalls}`,
      ...options,
      // Requests with the same path that lose their connections are kept from further servers.
      path: `${options.path}${sentCalls}`,
      headers: {
        [ENDING_HEADER]: ending,
        [EVENT_COUNT_HEADER]: String(EVENTS_BEFORE_END),
        ...options.headers,
      },
    });
  }

  /** Sends requests one after another. */
  async function callRepeatedly(
    ending: ResponseEnding,
    options: Partial<RawCall> & { readonly path: string },
  ): Promise<readonly RawResult[]> {
    const results: RawResult[] = [];
    for (let number = 0; number < CALLS; number += 1) results.push(await call(ending, options));
    return results;
  }

  /** Returns the results of truncated responses that their callers take for complete. */
  function takenForComplete(results: readonly RawResult[]): readonly RawResult[] {
    return results.filter(
      ({ status, body, isComplete }) => status === 200 && isComplete && body !== ALL_EVENTS,
    );
  }

  function whole(results: readonly RawResult[]): readonly RawResult[] {
    return results.filter(
      ({ status, body, isComplete }) => status === 200 && isComplete && body === ALL_EVENTS,
    );
  }

  beforeEach(async () => {
    store = new StoreStandin();
    servers = await Promise.all([startTruncatingServer(), startTruncatingServer()]);
    store.putDeployment(unframedDeployment());
    servers.forEach((server, index) => store.putServer(`i-${index}`, server.record('app')));
    const storeAddress = await store.listen();
    program = await startServingProgram({
      loader,
      storeAddress,
      ip: pickLoopbackAddress(),
      retryShare: RETRY_SHARE,
    });
    while (!(await isReady())) await sleep(20);
  });

  afterEach(async () => {
    await program.close();
    await Promise.all([store, ...servers].map((each) => each.close()));
  });

  const speeds: Readonly<Record<string, () => () => void>> = {
    'an entry with a whole processor': () => () => undefined,
    'a slow entry': () => throttleProcess(program.child.pid!, SLOW),
  };

  Object.entries(speeds).forEach(([speed, limitSpeed]) => {
    describe(`behind ${speed}`, () => {
      let restoreSpeed: () => void;

      beforeEach(() => {
        restoreSpeed = limitSpeed();
      });

      afterEach(() => restoreSpeed());

      Object.entries(PATHS).forEach(([kind, path]) => {
        it(`passes on complete responses whole (${kind})`, async () => {
          const results = await callRepeatedly('close', { path, headers: ALL });
          expect(whole(results)).to.have.length(CALLS);
        });

        // Guards against a reset that is read together with bytes and taken for a regular end.
        (['reset', 'late-reset'] as const).forEach((ending) => {
          it(`does not let a response look complete that ends by a ${ending} (${kind})`, async () => {
            const results = await callRepeatedly(ending, { path });
            expect(takenForComplete(results)).to.have.length(0);
            if (kind === 'resumable') expect(whole(results)).to.have.length(CALLS);
          });
        });

        // Guards against a server that closes its connections regularly by ending, and is noticed too late.
        it(`does not let a response look complete whose server is killed (${kind})`, async () => {
          let begun = 0;
          const headers = { ...ALL, [EVENT_INTERVAL_HEADER]: '100' };
          const calls = Array.from({ length: STREAMS }, () => {
            const onBegun = (): void => {
              begun += 1;
              if (begun === STREAMS) servers[0]!.kill();
            };
            return call('close', { path, headers, onBegun });
          });
          const results = await Promise.all(calls);
          expect(takenForComplete(results)).to.have.length(0);
          const hasTruncated = whole(results).length < STREAMS;
          expect(hasTruncated).to.equal(kind !== 'resumable');
        });

        it(`does not let a response look complete whose server ends after an event (${kind})`, async () => {
          const result = await call('kill', { path });
          expect(takenForComplete([result])).to.have.length(0);
          if (kind === 'resumable') expect(whole([result])).to.have.length(1);
        });
      });

      // Guards against a reset that the upload's write reports only after the end.
      it('does not let a response look complete that is reset while the upload goes on', async () => {
        const options = { path: PATHS.plain, body: UPLOAD };
        const results = await callRepeatedly('early-reset', options);
        expect(takenForComplete(results)).to.have.length(0);
      });
    });
  });

  // Guards against responses that end with the entry's connections, and look complete when the entry is killed.
  it('does not let responses look complete when the entry is killed', async () => {
    let begun = 0;
    const headers = { ...ALL, [EVENT_INTERVAL_HEADER]: '100' };
    const onBegun = (): void => {
      begun += 1;
      if (begun === STREAMS_OF_ENTRY) program.child.kill('SIGKILL');
    };
    const calls = Array.from({ length: STREAMS_OF_ENTRY }, () =>
      call('close', { path: PATHS.stream, headers, onBegun }),
    );
    const results = await Promise.all(calls);
    expect(results.every(({ body }) => body !== '' && body !== ALL_EVENTS)).to.equal(true);
    expect(takenForComplete(results)).to.have.length(0);
  });

  describe('and a caller that knows no chunks', () => {
    const options = { path: PATHS.stream, httpVersion: '1.0' } as const;

    it('passes on complete responses whole', async () => {
      const results = await callRepeatedly('close', { ...options, headers: ALL });
      expect(whole(results)).to.have.length(CALLS);
    });

    it('does not let a response look complete that ends by a reset', async () => {
      const results = await callRepeatedly('reset', options);
      expect(takenForComplete(results)).to.have.length(0);
    });
  });
});
