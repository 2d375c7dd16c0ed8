import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { BackendServerStandin } from '../../platform/testing/mod.ts';
import { startEntryFleet } from './testing/entryFleet.ts';
import type { EntryFleet, FleetEntry } from './testing/entryFleet.ts';
import type { CallerResult } from './testing/servingWorld.ts';

/** Time after an entry has passed on that a server leaves from which on it must send it no request. */
const DRAIN_MS = 2000;

/** Time after a server has asked for a pause from which on requests count. */
const TELLING_MS = 500;

/** Requests that may reach a server from one entry in its pause. */
const MAX_REQUESTS_IN_PAUSE = 2;

/** Time between two requests of one entry. */
const SENDING_INTERVAL_MS = 30;

type Call = { readonly id: string; readonly entry: number; readonly sentAt: number };

type EndedCall = Call & { readonly endedAt: number; readonly result: CallerResult };

describe('a server that says that it leaves', () => {
  let fleet: EntryFleet;

  beforeEach(async () => {
    fleet = await startEntryFleet({ entries: 3, plainServers: 4, engines: 3 });
  });

  afterEach(async () => {
    await fleet.close();
  });

  /** Sends requests to all entries for some time. */
  async function play(
    path: string,
    durationMs: number,
    model?: string,
  ): Promise<readonly EndedCall[]> {
    const calls: Promise<EndedCall>[] = [];
    const startedAt = performance.now();
    const send = async (entry: FleetEntry, index: number): Promise<EndedCall> => {
      const id = `e${index}-${calls.length}`;
      const sentAt = performance.now();
      const headers: Readonly<Record<string, string>> =
        model === undefined ? {} : { 'X-Model': model };
      const result = await entry.call({ id, path: `${path}${id}`, headers });
      return { id, entry: index, sentAt, endedAt: performance.now(), result };
    };
    while (performance.now() < startedAt + durationMs) {
      fleet.entries.forEach((entry, index) => calls.push(send(entry, index)));
      await sleep(SENDING_INTERVAL_MS);
    }
    return Promise.all(calls);
  }

  /** The requests that reached a server although their entry had passed on that it leaves. */
  function lateRequests(
    server: BackendServerStandin,
    calls: readonly EndedCall[],
  ): readonly EndedCall[] {
    const receivedIds = new Set(server.received.map(({ id }) => id));
    const reached = calls.filter(({ id }) => receivedIds.has(id));
    return reached.filter(({ entry, sentAt }) =>
      reached.some(
        (other) =>
          other.entry === entry &&
          other.result.headers['server-leaving'] !== undefined &&
          sentAt > other.endedAt + DRAIN_MS,
      ),
    );
  }

  /** The most requests from one entry in any pause that the server asked for. */
  function mostInPause({ received }: BackendServerStandin, pauseMs: number): number {
    const entryOf = (id: string): string => id.split('-')[0]!;
    return Math.max(
      0,
      ...received.map((told) => {
        const later = received.filter(
          ({ id, at }) =>
            entryOf(id) === entryOf(told.id) && at > told.at + TELLING_MS && at < told.at + pauseMs,
        );
        return later.length;
      }),
    );
  }

  const kinds = [
    { kind: 'requests that may be repeated', path: '/look/', isStream: false },
    { kind: 'requests that may run at most once', path: '/book/', isStream: false },
    { kind: 'streams of a model', path: '/draft/', isStream: true, model: 'm' },
  ];

  it('gets no request after some time from entries that have all ended and started again', async () => {
    const [leaving] = fleet.servers;
    leaving!.leavingWord = '1';
    await play('/look/', 600);
    expect(leaving!.received).to.not.have.length(0);
    await fleet.endEntries();
    const started = await Promise.all([0, 1, 2].map(() => fleet.addEntry()));
    const startedAt = performance.now();
    const calls: Promise<CallerResult>[] = [];
    while (performance.now() < startedAt + DRAIN_MS + 500) {
      started.forEach((entry, index) => {
        const id = `again${index}-${calls.length}`;
        calls.push(entry.call({ id, path: `/look/${id}`, headers: {} }));
      });
      await sleep(SENDING_INTERVAL_MS);
    }
    const results = await Promise.all(calls);
    expect(results.filter(({ status }) => status !== 200)).to.have.length(0);
    const late = leaving!.received.filter(({ at }) => at > startedAt + DRAIN_MS);
    expect(late).to.have.length(0);
  });

  kinds.forEach(({ kind, path, isStream, model }) => {
    function serversOfKind(): readonly BackendServerStandin[] {
      return isStream ? fleet.servers.slice(4) : fleet.servers.slice(0, 4);
    }

    it(`gets no request from an entry that has passed that on (${kind})`, async () => {
      fleet.servers.forEach((server) => {
        server.fault = isStream ? 'stream' : 'none';
      });
      const [leaving, alsoLeaving] = serversOfKind();
      [leaving!, alsoLeaving!].forEach((server) => {
        server.leavingWord = '1';
      });
      const calls = await play(path, 3500, model);
      expect(lateRequests(leaving!, calls)).to.have.length(0);
      expect(lateRequests(alsoLeaving!, calls)).to.have.length(0);
      expect(calls.filter(({ result }) => result.status !== 200)).to.have.length(0);
    });

    it(`gets its pause when it answers 503 with Retry-After (${kind})`, async () => {
      fleet.servers.forEach((server) => {
        server.fault = isStream ? 'stream' : 'none';
      });
      // Long enough that a server that only refuses seems the faster one.
      fleet.servers.forEach((server) => {
        server.delayMs = 60;
      });
      const [busy, alsoBusy] = serversOfKind();
      [busy!, alsoBusy!].forEach((server) => {
        server.fault = 'not-run';
        server.retryAfter = '2.5';
      });
      const calls = await play(path, 4000, model);
      expect(mostInPause(busy!, 2500)).to.be.at.most(MAX_REQUESTS_IN_PAUSE);
      expect(mostInPause(alsoBusy!, 2500)).to.be.at.most(MAX_REQUESTS_IN_PAUSE);
      const refused = calls.filter(({ result }) => result.status !== 200);
      expect(refused).to.have.length.at.most(calls.length / 50);
    });
  });

  it('gets no request when its record says afterwards that it is ready', async () => {
    const [server] = fleet.servers;
    const [entry] = fleet.entries;
    fleet.store.putServer('i-app-0', server!.record('app', 'draining'));
    await entry!.logged(
      ({ event, fields }) => event === 'serverChanged' && fields.change === 'leaving',
    );
    fleet.store.putServer('i-app-0', server!.record('app', 'ready'));
    await sleep(600);
    await play('/look/', 1000);
    expect(server!.received).to.have.length(0);
  });

  it('gets no request from an entry that has just started, and gets them after its own restart', async () => {
    const [server] = fleet.servers;
    const [first] = fleet.entries;
    // Long enough that a server which has served less is preferred.
    fleet.servers.forEach((each) => {
      each.delayMs = 60;
    });
    server!.leavingWord = '1';
    await play('/look/', 500);
    await first!.logged(({ event }) => event === 'serverLeaving');
    const entry = await fleet.addEntry();
    await entry.logged(({ event }) => event === 'serverLeaving');
    const count = server!.received.length;
    for (let number = 0; number < 20; number += 1) {
      await entry.call({ id: `n${number}`, path: '/look/n' });
    }
    expect(server!.received).to.have.length(count);
    server!.leavingWord = undefined;
    fleet.store.putServer('i-app-0', server!.record('app', 'ready', 2000));
    for (let number = 0; server!.received.length === count; number += 1) {
      await entry.call({ id: `a${number}`, path: '/look/a' });
      await sleep(20);
    }
  });

  it('keeps its requests and its answer when its word cannot be read', async () => {
    const [server] = fleet.servers;
    const [entry] = fleet.entries;
    fleet.servers.forEach((each) => {
      each.leavingWord = 'soon';
    });
    const { headers, body } = await entry!.call({ id: 'b', path: '/look/b' });
    expect(headers['server-leaving']).to.equal('soon');
    expect(body).to.equal('whole');
    const { fields } = await entry!.logged(({ event }) => event === 'serverNoticeInvalid');
    expect(fields.value).to.equal('soon');
    await play('/look/', 600);
    expect(server!.received).to.have.length.at.least(1);
  });
});
