import { expect } from 'chai';
import { startEntryFleet } from './testing/entryFleet.ts';
import type { EntryFleet } from './testing/entryFleet.ts';
import type { CallerResult } from './testing/servingWorld.ts';

const CRASHING_PART = 'bad0';

/** Rounds of one request that crashes its server and some that do not. */
const ROUNDS = 24;

/** Last rounds, in which all requests without the crashing part must be answered. */
const SOUND_ROUNDS = 8;

const SOUND_REQUESTS_PER_ENTRY = 3;

type Round = { readonly crashing: CallerResult; readonly sound: readonly CallerResult[] };

describe('requests with a prompt part that crashes every server', () => {
  let fleet: EntryFleet;

  beforeEach(async () => {
    fleet = await startEntryFleet({ entries: 3, plainServers: 6, engines: 5 });
    fleet.servers.forEach((server) => {
      server.crashingParts = new Set([CRASHING_PART]);
    });
  });

  afterEach(async () => {
    await fleet.close();
  });

  function arrivalCount(): number {
    return fleet.servers
      .flatMap(({ runs }) => runs)
      .filter(({ headers }) => String(headers['x-prompt-prefix']).includes(CRASHING_PART)).length;
  }

  function crashCount(): number {
    return fleet.servers.reduce((sum, { crashCount: count }) => sum + count, 0);
  }

  async function playRound(
    number: number,
    path: string,
    model?: string,
    firstEntry = 0,
  ): Promise<Round> {
    const entries = fleet.entries.slice(firstEntry);
    const send = (entry: number, id: string, parts: readonly string[]): Promise<CallerResult> =>
      entries[entry]!.call({
        id,
        path: `${path}${id}`,
        headers: {
          'X-Prompt-Prefix': [...parts, id].map((part) => `${part}:100`).join(','),
          ...(model === undefined ? {} : { 'X-Model': model }),
        },
      })
        // The gateway aborts streams that no server can complete.
        .catch(() => ({ status: 0, headers: {}, body: '', isComplete: false }));
    const common = ['aa', `b${number % 4}`];
    const sound = entries.flatMap((_, entry) =>
      Array.from({ length: SOUND_REQUESTS_PER_ENTRY }, (__, index) =>
        send(entry, `s${number}-${entry}-${index}`, ['aa', `b${(number + index) % 4}`]),
      ),
    );
    const crashing = send(number % entries.length, `c${number}`, [...common, CRASHING_PART]);
    const round = { crashing: await crashing, sound: await Promise.all(sound) };
    await Promise.all(fleet.servers.map(({ restarted }) => restarted));
    return round;
  }

  const kinds = [
    { kind: 'a request that may be repeated', path: '/look/', isStream: false },
    { kind: 'a stream that may be resumed', path: '/long/', isStream: true },
    { kind: 'a request that may run at most once', path: '/book/', isStream: false },
    { kind: 'a stream of a model', path: '/draft/', isStream: true, model: 'm' },
  ];

  kinds.forEach(({ kind, path, isStream, model }) => {
    it(`reach servers at most three times after five crashes (${kind})`, async () => {
      const rounds: Round[] = [];
      fleet.servers.forEach((server) => {
        server.fault = isStream ? 'stream' : 'none';
      });
      let arrivalsAtFifthCrash: number | undefined;
      for (let number = 0; number < ROUNDS; number += 1) {
        rounds.push(await playRound(number, path, model));
        if (crashCount() >= 5) arrivalsAtFifthCrash ??= arrivalCount();
      }
      expect(arrivalCount() - (arrivalsAtFifthCrash ?? arrivalCount())).to.be.at.most(3);
      expect(crashCount()).to.be.within(1, 8);
      const last = rounds.slice(-SOUND_ROUNDS);
      const soundStatuses = last.flatMap(({ sound }) => sound.map(({ status }) => status));
      expect(soundStatuses.filter((status) => status !== 200)).to.deep.equal([]);
      last.forEach(({ crashing }) => {
        expect(crashing.status).to.equal(503);
        expect(crashing.headers).to.not.have.property('retry-after');
      });
    });
  });

  it('are rejected by an entry that has just started', async () => {
    for (let number = 0; number < ROUNDS; number += 1) {
      await playRound(number, '/look/');
    }
    const before = arrivalCount();
    const entry = await fleet.addEntry();
    await entry.logged(({ event }) => event === 'traitQuarantined');
    const result = await entry.call({
      id: 'late',
      path: '/look/late',
      headers: { 'X-Prompt-Prefix': `aa:100,${CRASHING_PART}:100,late:100` },
    });
    expect(result.status).to.equal(503);
    expect(arrivalCount()).to.equal(before);
  });

  it('are rejected by entries that have all ended and started again', async () => {
    for (let number = 0; number < ROUNDS; number += 1) {
      await playRound(number, '/look/');
    }
    const before = arrivalCount();
    const ended = fleet.entries.length;
    await fleet.endEntries();
    await Promise.all([0, 1, 2].map(() => fleet.addEntry()));
    for (let number = 0; number < ROUNDS; number += 1) {
      await playRound(ROUNDS + number, '/look/', undefined, ended);
    }
    expect(arrivalCount() - before).to.be.at.most(3);
  });
});
