import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { BackendServerStandin } from '../../platform/testing/mod.ts';
import { startEntryFleet } from './testing/entryFleet.ts';
import type { EntryFleet, FleetEntry } from './testing/entryFleet.ts';
import type { CallerResult } from './testing/servingWorld.ts';

/** Time after a limit is named from which on it must be kept. */
const LEARNING_MS = 3000;

/** Time after it is named from which on requests count. */
const TELLING_MS = 500;

const WINDOW_MS = 4000;

const DURATION_MS = 6500;

/** Time between two requests of one entry. */
const SENDING_INTERVAL_MS = 40;

/** The most requests in any window once the entries had time to learn of a limit. */
function worstWindow({ arrivals }: BackendServerStandin, namedAt: number): number {
  const counted = arrivals.filter((at) => at >= namedAt + TELLING_MS);
  return counted
    .filter((at) => at >= namedAt + LEARNING_MS)
    .reduce((worst, end) => {
      const count = counted.filter((at) => at > end - WINDOW_MS && at <= end).length;
      return Math.max(worst, count);
    }, 0);
}

function allowedIn(perSecond: number): number {
  return (1.5 * perSecond * WINDOW_MS) / 1000 + 5;
}

describe('a server that names a limit', () => {
  let fleet: EntryFleet;

  beforeEach(async () => {
    fleet = await startEntryFleet({ entries: 3, plainServers: 3, engines: 3 });
  });

  afterEach(async () => {
    await fleet.close();
  });

  /** Sends requests to all entries for some time; returns the results. */
  async function play(path: string, model?: string): Promise<readonly CallerResult[]> {
    const results: Promise<CallerResult>[] = [];
    const startedAt = performance.now();
    while (performance.now() < startedAt + DURATION_MS) {
      fleet.entries.forEach((entry, index) => {
        const id = `r${results.length}-${index}`;
        const call = entry.call({
          id,
          path: `${path}${id}`,
          headers: model === undefined ? {} : { 'X-Model': model },
        });
        results.push(call);
      });
      await sleep(SENDING_INTERVAL_MS);
    }
    return Promise.all(results);
  }

  const kinds = [
    { kind: 'requests that may be repeated', path: '/look/', isStream: false },
    { kind: 'requests that may run at most once', path: '/book/', isStream: false },
    { kind: 'streams of a model', path: '/draft/', isStream: true, model: 'm' },
  ];

  kinds.forEach(({ kind, path, isStream, model }) => {
    function serversOfKind(): readonly BackendServerStandin[] {
      return isStream ? fleet.servers.slice(3) : fleet.servers.slice(0, 3);
    }

    it(`gets no more from all entries than it takes, and the others get the rest (${kind})`, async () => {
      const [scarce, low] = serversOfKind();
      fleet.servers.forEach((server) => {
        server.fault = isStream ? 'stream' : 'none';
      });
      scarce!.namedLimit = '1.0';
      low!.namedLimit = '5';
      const namedAt = performance.now();
      const results = await play(path, model);
      expect(worstWindow(scarce!, namedAt)).to.be.at.most(allowedIn(1));
      expect(worstWindow(low!, namedAt)).to.be.at.most(allowedIn(5));
      expect(results.filter(({ status }) => status !== 200)).to.have.length.at.most(
        results.length / 20,
      );
    });

    it(`gets no more than it takes while all servers name a limit; the rest is refused (${kind})`, async () => {
      const servers = serversOfKind();
      fleet.servers.forEach((server) => {
        server.fault = isStream ? 'stream' : 'none';
        server.namedLimit = '4';
      });
      const namedAt = performance.now();
      const results = await play(path, model);
      servers.forEach((server) => {
        expect(worstWindow(server, namedAt)).to.be.at.most(allowedIn(4));
      });
      const refused = results.filter(({ status }) => status === 503);
      expect(refused).to.have.length.at.least(results.length / 2);
      expect(refused.filter(({ headers }) => headers['retry-after'] === undefined)).to.have.length(
        0,
      );
    });
  });

  it('is still limited for an entry that has just started', async () => {
    fleet.servers.forEach((server) => {
      server.namedLimit = '0.2';
    });
    await fleet.entries[0]!.call({ id: 'first', path: '/look/first' });
    const entry = await fleet.addEntry();
    await entry.logged(({ event }) => event === 'serverLimitNamed');
    const known = fleet.servers.filter(({ arrivals }) => arrivals.length > 0);
    expect(known).to.have.length(1);
    const results = await Promise.all(
      [1, 2, 3, 4, 5].map((number) => entry.call({ id: `l${number}`, path: `/look/${number}` })),
    );
    expect(results.map(({ status }) => status)).to.deep.equal([200, 200, 200, 200, 200]);
    expect(known[0]!.arrivals).to.have.length(1);
  });

  it('gets no more than it takes from entries that have all ended and started again', async () => {
    const [server] = fleet.servers;
    server!.namedLimit = '1.0';
    server!.delayMs = 200;
    const namedAt = performance.now();
    await play('/look/');
    await fleet.endEntries();
    const started = await Promise.all([0, 1, 2].map(() => fleet.addEntry()));
    const results: Promise<CallerResult>[] = [];
    const startedAt = performance.now();
    while (performance.now() < startedAt + WINDOW_MS) {
      started.forEach((entry, index) => {
        const id = `again${results.length}-${index}`;
        results.push(entry.call({ id, path: `/look/${id}` }));
      });
      await sleep(SENDING_INTERVAL_MS);
    }
    await Promise.all(results);
    expect(worstWindow(server!, namedAt)).to.be.at.most(allowedIn(1));
  });

  /** Sends requests to an entry until a server has named its limit to it. */
  async function nameLimit(
    server: BackendServerStandin,
    entry: FleetEntry,
    limit: string,
  ): Promise<void> {
    server.namedLimit = limit;
    for (let number = 0; server.arrivals.length === 0; number += 1) {
      await entry.call({ id: `a${number}`, path: '/look/a' });
    }
    await entry.logged(({ event }) => event === 'serverLimitNamed');
  }

  it('gets its load back once it names none', async () => {
    const [server] = fleet.servers;
    const [entry] = fleet.entries;
    await nameLimit(server!, entry!, '4');
    server!.namedLimit = undefined;
    const isEnded = entry!.logged(({ event }) => event === 'serverLimitEnded').then(() => true);
    for (let number = 0; !(await Promise.race([isEnded, sleep(20, false)])); number += 1) {
      await entry!.call({ id: `b${number}`, path: '/look/b' });
    }
  });

  it('has no limit any more once it has started again under its id', async () => {
    const [server] = fleet.servers;
    const [entry] = fleet.entries;
    await nameLimit(server!, entry!, '0.2');
    fleet.store.putServer('i-app-0', server!.record('app', 'ready', 2000));
    await entry!.logged(({ event }) => event === 'serverLimitEnded');
  });

  it('keeps its last limit and its answer when a value is none', async () => {
    const [server] = fleet.servers;
    const [entry] = fleet.entries;
    await nameLimit(server!, entry!, '0.2');
    fleet.servers.forEach((each) => {
      each.namedLimit = 'plenty';
    });
    const result = await entry!.call({ id: 'b', path: '/look/b' });
    expect(result).to.include({ status: 200, body: 'whole' });
    expect(result.headers['server-limit']).to.equal('plenty');
    const { fields } = await entry!.logged(({ event }) => event === 'serverLimitInvalid');
    expect(fields.value).to.equal('plenty');
    expect(server!.arrivals).to.have.length(1);
  });
});
