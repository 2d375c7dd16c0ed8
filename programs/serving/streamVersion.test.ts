import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { startEntryFleet } from './testing/entryFleet.ts';
import type { EntryFleet, FleetEntry } from './testing/entryFleet.ts';
import { readStream } from './testing/readStream.ts';
import type { StreamResult } from './testing/readStream.ts';

/** Streams of two software versions that are allowed in all. */
const MAX_MIXED_STREAMS = 2;

const STREAM_INTERVAL_MS = 10;

/** Time from the end of a stream's connection until its caller takes it up. */
const RETURN_DELAY_MS = 50;

const STREAM_COUNT = 90;

/** Events after which a caller drops its stream. */
const DROP_AFTER = 2;

/** Whether a stream has events of servers of several software versions. */
function isMixed(results: readonly StreamResult[]): boolean {
  return new Set(results.flatMap(({ versions }) => versions)).size > 1;
}

describe('a stream while servers of two software versions serve', () => {
  let fleet: EntryFleet;

  beforeEach(async () => {
    fleet = await startEntryFleet({
      entries: 3,
      plainServers: 6,
      engines: 0,
      versionOf: (number) => (number < 3 ? 'v1' : 'v2'),
    });
    fleet.servers.forEach((server) => {
      server.fault = 'stream';
      // Long enough that all servers are in use.
      server.delayMs = 60;
      server.eventIntervalMs = 20;
    });
  });

  afterEach(async () => {
    await fleet.close();
  });

  type Journey = { readonly begun: StreamResult; readonly resumed: StreamResult };

  function takeUp(entry: FleetEntry, id: string): Promise<StreamResult> {
    const headers = { 'Last-Event-Id': String(DROP_AFTER), Resumes: id };
    return readStream(entry, { id: `${id}-again`, headers });
  }

  /**
   * Begins streams at entries, drops them and takes them up at others.
   *
   * @param beforeTakingUp Called once all streams have begun; none is taken up before it has ended.
   */
  async function play(
    beginAt: (number: number) => FleetEntry,
    takeUpAt: (number: number) => FleetEntry,
    beforeTakingUp?: () => Promise<unknown>,
  ): Promise<readonly Journey[]> {
    const begun: Promise<StreamResult>[] = [];
    const journeys: Promise<Journey>[] = [];
    let noteAllSent: () => void = () => undefined;
    const allSent = new Promise<void>((resolve) => {
      noteAllSent = resolve;
    });
    const prepared = allSent
      .then(() => (beforeTakingUp === undefined ? [] : Promise.all(begun)))
      .then(beforeTakingUp);
    const travel = async (number: number, first: Promise<StreamResult>): Promise<Journey> => {
      const result = await first;
      await sleep(RETURN_DELAY_MS);
      if (beforeTakingUp !== undefined) await prepared;
      return { begun: result, resumed: await takeUp(takeUpAt(number), `s${number}`) };
    };
    for (let number = 0; number < STREAM_COUNT; number += 1) {
      const first = readStream(beginAt(number), { id: `s${number}`, dropAfter: DROP_AFTER });
      begun.push(first);
      journeys.push(travel(number, first));
      await sleep(STREAM_INTERVAL_MS);
    }
    noteAllSent();
    return Promise.all(journeys);
  }

  /** Checks that streams keep their version, and that enough of those that are taken up go on. */
  function check(journeys: readonly Journey[]): void {
    const begun = journeys.filter(({ begun: { versions } }) => versions.length === DROP_AFTER);
    const wentOn = begun.filter(({ resumed: { versions } }) => versions.length > 0);
    const mixed = begun.filter(({ begun: first, resumed }) => isMixed([first, resumed]));
    expect(begun.length).to.be.at.least(journeys.length * 0.9);
    expect(new Set(begun.flatMap(({ begun: { versions } }) => versions))).to.have.property(
      'size',
      2,
    );
    expect(mixed).to.have.length.at.most(MAX_MIXED_STREAMS);
    expect(wentOn.length / begun.length).to.be.at.least((0.5 * begun.length) / journeys.length);
  }

  it('goes on at the version that began it when it is taken up at another entry', async () => {
    const { entries } = fleet;
    check(
      await play(
        (number) => entries[number % 3]!,
        (number) => entries[(number + 1) % 3]!,
      ),
    );
  });

  it('goes on at the version that began it when the entry that began it has stopped', async () => {
    const { entries } = fleet;
    check(
      await play(
        () => entries[0]!,
        (number) => entries[1 + (number % 2)]!,
        () => entries[0]!.gateway.leave(),
      ),
    );
  });

  it('goes on at the version that began it when it is taken up at an entry that has just started', async () => {
    const { entries } = fleet;
    const journeys = await play(
      (number) => entries[number % 3]!,
      () => entries[3]!,
      () => fleet.addEntry(),
    );
    check(journeys);
  });

  it('goes on at the version that began it within one answer', async () => {
    fleet.servers.forEach((server) => {
      server.tornStreams = 6;
    });
    const { entries } = fleet;
    const results: Promise<StreamResult>[] = [];
    for (let number = 0; number < STREAM_COUNT; number += 1) {
      results.push(readStream(entries[number % 3]!, { id: `s${number}` }));
      await sleep(STREAM_INTERVAL_MS);
    }
    const streams = await Promise.all(results);
    expect(streams.filter((stream) => isMixed([stream]))).to.have.length.at.most(MAX_MIXED_STREAMS);
    const whole = streams.filter(({ versions }) => versions.length === 6);
    expect(whole).to.have.length.at.least(STREAM_COUNT / 2);
  });

  it('is refused, to be begun anew, when nobody knows the version that began it', async () => {
    const results = await Promise.all(
      fleet.entries.map((entry, index) => takeUp(entry, `unknown-${index}`)),
    );
    results.forEach((result) => {
      expect(result).to.deep.equal({
        status: 503,
        hasRetryAfter: false,
        eventIds: [],
        versions: [],
      });
    });
  });

  it('is refused, to be begun anew, when no server of its version is left', async () => {
    const [entry, other] = fleet.entries;
    const { versions } = await readStream(entry!, { id: 's', dropAfter: DROP_AFTER });
    const isFirst = versions[0] === 'v1';
    const left = [0, 1, 2].map((number) => (isFirst ? number : number + 3));
    left.forEach((number) => fleet.store.removeServer(`i-app-${number}`));
    await Promise.all(
      left.map((number) =>
        other!.logged(
          ({ event, fields }) =>
            event === 'serverChanged' &&
            fields.server === `i-app-${number}` &&
            fields.change === 'left',
        ),
      ),
    );
    const result = await takeUp(other!, 's');
    expect(result).to.deep.equal({ status: 503, hasRetryAfter: false, eventIds: [], versions: [] });
  });
});

describe('a stream while servers of one software version serve', () => {
  let fleet: EntryFleet;

  beforeEach(async () => {
    fleet = await startEntryFleet({ entries: 2, plainServers: 2, engines: 0 });
    fleet.servers.forEach((server) => {
      server.fault = 'stream';
    });
  });

  afterEach(async () => {
    await fleet.close();
  });

  it('is refused when nobody knows who began it, and no entry has watched for a minute', async () => {
    const headers = { 'Last-Event-Id': '2', Resumes: 'unknown' };
    const result = await readStream(fleet.entries[0]!, { id: 'r', headers });
    expect(result).to.deep.equal({ status: 503, hasRetryAfter: false, eventIds: [], versions: [] });
  });
});
