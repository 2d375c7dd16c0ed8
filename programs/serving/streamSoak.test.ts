import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { startEntryFleet } from './testing/entryFleet.ts';
import type { EntryFleet, FleetEntry } from './testing/entryFleet.ts';
import { readStream } from './testing/readStream.ts';
import type { StreamResult } from './testing/readStream.ts';

const SEEDS = Array.from({ length: Number(process.env.SOAK_SEEDS ?? 5) }, (_, index) => index + 1);

/** Streams of two software versions that are allowed in all. */
const MAX_MIXED_STREAMS = 2;

/** Servers of each software version. */
const SERVERS_OF_VERSION = 4;

/** Servers of each version that leave, pause or break streams off; the others are sound. */
const MAX_FAULTY_SERVERS = 2;

const STEPS = 60;

const STREAMS_PER_STEP = 4;

const MAX_TRIES = 3;

/** Time after an entry has learned that a server leaves from which on it must send it no request. */
const DRAIN_MS = 2000;

type Journey = {
  readonly id: string;
  readonly tries: readonly StreamResult[];
};

/** A time in which a server says that it leaves. */
type Departure = { readonly server: number; readonly from: number; until: number };

describe('streams under load, with entries that stop or all end at once, and servers of two versions that leave', () => {
  let fleet: EntryFleet;
  let departures: Departure[];

  beforeEach(async () => {
    departures = [];
    fleet = await startEntryFleet({
      entries: 3,
      plainServers: 2 * SERVERS_OF_VERSION,
      engines: 3,
      graceMs: 1500,
      versionOf: (number) => (number < SERVERS_OF_VERSION ? 'v1' : 'v2'),
    });
    fleet.servers.forEach((server) => {
      server.fault = 'stream';
      server.delayMs = 30;
      server.eventIntervalMs = 15;
    });
  });

  afterEach(async () => {
    await fleet.close();
  });

  async function play(seed: number): Promise<readonly Journey[]> {
    const generator = xoroshiro128plus(seed);
    const pick = (count: number): number => uniformInt(generator, 0, count - 1);
    const serving: FleetEntry[] = [...fleet.entries];
    const leaving: Promise<void>[] = [];
    let born = 2000;
    const pickFaulty = (): number => pick(2) * SERVERS_OF_VERSION + pick(MAX_FAULTY_SERVERS);
    const events: readonly (() => void | Promise<void>)[] = [
      () => undefined,
      () => {
        fleet.servers[pickFaulty()]!.tornStreams += 2;
      },
      () => {
        const number = pickFaulty();
        if (fleet.servers[number]!.leavingWord !== undefined) return;
        fleet.servers[number]!.leavingWord = '1';
        departures.push({ server: number, from: performance.now(), until: Infinity });
      },
      () => {
        const server = fleet.servers[pickFaulty()]!;
        server.fault = server.fault === 'stream' ? 'not-run' : 'stream';
        server.retryAfter = server.fault === 'stream' ? undefined : '0.7';
      },
      () => {
        // It starts again under its id.
        const number = pickFaulty();
        born += 1;
        fleet.servers[number]!.leavingWord = undefined;
        departures
          .filter(({ server, until }) => server === number && until === Infinity)
          .forEach((departure) => {
            departure.until = performance.now();
          });
        fleet.store.putServer(
          `i-app-${number}`,
          fleet.servers[number]!.record('app', 'ready', born),
        );
      },
      async () => {
        if (serving.length < 2 || leaving.length > 2) return;
        const [entry] = serving.splice(pick(serving.length), 1);
        leaving.push(entry!.gateway.leave());
        serving.push(await fleet.addEntry());
      },
      async () => {
        if (leaving.length > 0) return;
        await fleet.endEntries();
        const started = await Promise.all(fleet.entries.slice(0, 3).map(() => fleet.addEntry()));
        serving.splice(0, Infinity, ...started);
      },
    ];
    /** Reads a stream, which the caller drops or takes up again at another entry. */
    const travel = async (id: string, dropAfter: number, first: number): Promise<Journey> => {
      const tries: StreamResult[] = [];
      let begunBy: string | undefined;
      let lastEventId = 0;
      for (let number = 0; number < MAX_TRIES && lastEventId < 6; number += 1) {
        const entry = serving[(first + number) % serving.length]!;
        const own = `${id}-${number}@${fleet.entries.indexOf(entry)}`;
        const headers: Readonly<Record<string, string>> =
          begunBy === undefined ? {} : { 'Last-Event-Id': String(lastEventId), Resumes: begunBy };
        const isDropped = number === 0;
        const call = { id: own, headers, ...(isDropped && { dropAfter }) };
        const result = await readStream(entry, call);
        tries.push(result);
        if (result.eventIds.length > 0) begunBy ??= own;
        lastEventId = result.eventIds.at(-1) ?? lastEventId;
        await sleep(50);
      }
      return { id, tries };
    };
    const journeys: Promise<Journey>[] = [];
    for (let step = 0; step < STEPS; step += 1) {
      for (let number = 0; number < STREAMS_PER_STEP; number += 1) {
        journeys.push(travel(`s${seed}-${step}-${number}`, 1 + pick(6), pick(3)));
      }
      if (step % 3 === 0) await events[pick(events.length)]!();
      await sleep(40);
    }
    const all = await Promise.all(journeys);
    await Promise.all(leaving);
    return all;
  }

  /** Requests that reached a server long after their entry had learned that it leaves. */
  function lateRequests(): readonly string[] {
    return departures.flatMap(({ server, from, until }) =>
      fleet.servers[server]!.received.filter(({ id, at }) => {
        const entry = fleet.entries[Number(id.split('@')[1])]!;
        const learned = entry.lines.find(
          (line) =>
            line.event === 'serverLeaving' &&
            line.fields.server === `i-app-${server}` &&
            line.at >= from,
        );
        return at > (learned?.at ?? Infinity) + DRAIN_MS && at < until;
      }).map(({ id }) => id),
    );
  }

  SEEDS.forEach((seed) => {
    it(`keeps streams whole and at their version (seed ${seed})`, async () => {
      const journeys = await play(seed);
      const torn = journeys.filter(({ tries }) => {
        const ids = tries.flatMap(({ eventIds }) => eventIds);
        return ids.some((id, index) => id !== index + 1);
      });
      expect(torn, 'an event missing or doubled').to.deep.equal([]);
      const mixed = journeys.filter(
        ({ tries }) => new Set(tries.flatMap(({ versions }) => versions)).size > 1,
      );
      expect(mixed).to.have.length.at.most(MAX_MIXED_STREAMS);
      const begun = journeys.filter(({ tries }) => tries[0]!.eventIds.length > 0);
      const takenUp = begun.filter(
        ({ tries }) => tries.length > 1 && tries[0]!.eventIds.at(-1) !== 6,
      );
      const wentOn = takenUp.filter(({ tries }) => tries[1]!.eventIds.length > 0);
      const beginShare = begun.length / journeys.length;
      expect(takenUp).to.have.length.at.least(12);
      expect(wentOn.length / takenUp.length).to.be.at.least(beginShare / 2);
      expect(lateRequests(), 'sent to a leaving server').to.deep.equal([]);
    });
  });
});
