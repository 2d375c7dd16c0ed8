import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { BackendServerStandin } from '../../platform/testing/mod.ts';
import { startEntryFleet } from './testing/entryFleet.ts';
import type { EntryFleet } from './testing/entryFleet.ts';
import type { CallerResult } from './testing/servingWorld.ts';

const CRASHING_BODY = 'this one';

/** Rounds of the crashing request and some that share its path and its prompt. */
const ROUNDS = 16;

/** Last rounds, in which all sound requests must be answered. */
const SOUND_ROUNDS = 6;

const SOUND_REQUESTS_PER_ENTRY = 2;

/** Crashes after which the entries must know the request. */
const CRASHES = 3;

const MAX_ARRIVALS = 3;

type Round = { readonly crashing: CallerResult; readonly sound: readonly CallerResult[] };

describe('one request that crashes every server', () => {
  let fleet: EntryFleet;

  afterEach(async () => {
    await fleet.close();
  });

  async function start(plainServers: number, engines: number): Promise<void> {
    fleet = await startEntryFleet({ entries: 3, plainServers, engines });
    fleet.servers.forEach((server) => {
      server.crashingBodies = new Set([CRASHING_BODY]);
    });
  }

  function sum(value: (server: BackendServerStandin) => number): number {
    return fleet.servers.reduce((total, server) => total + value(server), 0);
  }

  function arrivalCount(): number {
    return sum(({ runs }) => runs.filter(({ body }) => body === CRASHING_BODY).length);
  }

  function crashCount(): number {
    return sum(({ crashCount: count }) => count);
  }

  function send(entry: number, id: string, path: string, body: string): Promise<CallerResult> {
    const headers = path.startsWith('/draft/') ? { 'X-Model': 'm' } : {};
    return (
      fleet.entries[entry]!.call({
        id,
        path,
        body,
        headers: { ...headers, 'X-Prompt-Prefix': 'aa:100,b1:100,own:100' },
      })
        // The gateway aborts streams that no server can complete.
        .catch(() => ({ status: 0, headers: {}, body: '', isComplete: false }))
    );
  }

  async function playRound(number: number, path: string): Promise<Round> {
    const sound = fleet.entries.flatMap((_, entry) =>
      Array.from({ length: SOUND_REQUESTS_PER_ENTRY }, (__, index) =>
        send(entry, `s${number}-${entry}-${index}`, path, `sound ${number} ${entry} ${index}`),
      ),
    );
    const crashing = send(number % fleet.entries.length, `c${number}`, path, CRASHING_BODY);
    const round = { crashing: await crashing, sound: await Promise.all(sound) };
    await Promise.all(fleet.servers.map(({ restarted }) => restarted));
    // The entries agree on an end once all of them have reported it.
    await sleep(200);
    return round;
  }

  const kinds = [
    { kind: 'a request that may be repeated', path: '/look/', isStream: false },
    { kind: 'a stream that may be resumed', path: '/long/', isStream: true },
    { kind: 'a request that may run at most once', path: '/book/', isStream: false },
    { kind: 'a stream of a model', path: '/draft/', isStream: true },
  ];

  kinds.forEach(({ kind, path, isStream }) => {
    it(`reaches servers at most three times after three crashes (${kind})`, async () => {
      await start(6, 5);
      fleet.servers.forEach((server) => {
        server.fault = isStream ? 'stream' : 'none';
      });
      const rounds: Round[] = [];
      let arrivalsBefore: number | undefined;
      for (let number = 0; number < ROUNDS; number += 1) {
        rounds.push(await playRound(number, `${path}same`));
        if (crashCount() >= CRASHES) arrivalsBefore ??= arrivalCount();
      }
      expect(arrivalCount() - (arrivalsBefore ?? arrivalCount())).to.be.at.most(MAX_ARRIVALS);
      const last = rounds.slice(-SOUND_ROUNDS);
      const statuses = last.flatMap(({ sound }) => sound.map(({ status }) => status));
      expect(statuses.filter((status) => status !== 200)).to.deep.equal([]);
      last.forEach(({ crashing }) => {
        expect(crashing.status).to.equal(503);
        expect(crashing.headers).to.not.have.property('retry-after');
      });
    });
  });

  it('reaches servers at most three times after all three servers of its service have crashed', async () => {
    await start(3, 0);
    let arrivalsBefore: number | undefined;
    for (let number = 0; number < ROUNDS; number += 1) {
      await playRound(number, '/look/same');
      if (crashCount() >= CRASHES) arrivalsBefore ??= arrivalCount();
    }
    expect(arrivalCount() - (arrivalsBefore ?? arrivalCount())).to.be.at.most(MAX_ARRIVALS);
  });

  it('is rejected by an entry that has just started', async () => {
    await start(6, 0);
    for (let number = 0; number < ROUNDS / 2; number += 1) {
      await playRound(number, '/look/same');
    }
    const before = arrivalCount();
    await fleet.addEntry();
    await sleep(1000);
    const result = await send(fleet.entries.length - 1, 'late', '/look/same', CRASHING_BODY);
    expect(result.status).to.equal(503);
    expect(arrivalCount()).to.equal(before);
  });
});
