import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { startEntryFleet } from './testing/entryFleet.ts';
import type { EntryFleet, FleetEntry } from './testing/entryFleet.ts';
import { readStream } from './testing/readStream.ts';
import type { StreamResult } from './testing/readStream.ts';

/** Streams of two software versions that are allowed in all. */
const MAX_MIXED_STREAMS = 2;

/** Share of the streams that go on while servers of their version serve. */
const MIN_SHARE_GONE_ON = 0.9;

const STREAM_INTERVAL_MS = 12;

const STREAM_COUNT = 60;

/** Servers of each software version. */
const SERVERS_OF_VERSION = 3;

const OLD_SERVERS = [0, 1, 2];

const NEW_SERVERS = [3, 4, 5];

type Journey = { readonly begun: StreamResult; readonly resumed: StreamResult };

/** Begins a stream; `begun` resolves with its first event, or when it ends without one. */
function begin(
  entry: FleetEntry,
  id: string,
): { readonly begun: Promise<unknown>; readonly ended: Promise<StreamResult> } {
  let noteBegun: () => void = () => undefined;
  const hasBegun = new Promise<void>((resolve) => {
    noteBegun = resolve;
  });
  const ended = readStream(entry, { id, onBegun: () => noteBegun() });
  return { begun: Promise.race([hasBegun, ended]), ended };
}

type PlayOptions = {
  /** Numbers of the plain servers that are listed when entries start again. */
  readonly listed: readonly number[];
  readonly beforeTheEnd?: () => Promise<void>;
  readonly whileNoneRuns?: () => void;
};

describe('streams when all entries end at once and start again', () => {
  let fleet: EntryFleet;

  async function start(keepers = 3): Promise<void> {
    fleet = await startEntryFleet({
      entries: 3,
      plainServers: 2 * SERVERS_OF_VERSION,
      engines: keepers,
      versionOf: (number) => (number < SERVERS_OF_VERSION ? 'v1' : 'v2'),
    });
    fleet.servers.forEach((server) => {
      server.fault = 'stream';
      server.delayMs = 60;
      // Longer than the streams take to begin, so that the end of the entries breaks off all of them.
      server.eventIntervalMs = 700;
    });
  }

  afterEach(async () => {
    await fleet.close();
  });

  function removeServers(numbers: readonly number[]): void {
    numbers.forEach((number) => fleet.store.removeServer(`i-app-${number}`));
  }

  /** Waits until an entry has learned that servers have left. */
  async function sawLeave(entry: FleetEntry, numbers: readonly number[]): Promise<void> {
    await Promise.all(
      numbers.map((number) =>
        entry.logged(
          ({ event, fields }) =>
            event === 'serverChanged' &&
            fields.server === `i-app-${number}` &&
            fields.change === 'left',
        ),
      ),
    );
  }

  /** Begins streams at all entries, ends the entries, starts others, and takes the streams up there. */
  async function play(options: PlayOptions): Promise<readonly Journey[]> {
    const { listed, beforeTheEnd, whileNoneRuns } = options;
    const ended: Promise<StreamResult>[] = [];
    const begun: Promise<unknown>[] = [];
    for (let number = 0; number < STREAM_COUNT; number += 1) {
      const stream = begin(fleet.entries[number % 3]!, `s${number}`);
      ended.push(stream.ended);
      begun.push(stream.begun);
      await sleep(STREAM_INTERVAL_MS);
    }
    await Promise.all(begun);
    await beforeTheEnd?.();
    await fleet.endEntries();
    const broken = await Promise.all(ended);
    whileNoneRuns?.();
    fleet.servers.forEach((server) => {
      server.eventIntervalMs = 5;
    });
    const started: readonly FleetEntry[] = await Promise.all(
      [0, 1, 2].map(() => fleet.addEntry(listed)),
    );
    return Promise.all(
      broken.map(async (first, number) => {
        const headers = {
          'Last-Event-Id': String(first.eventIds.at(-1) ?? 0),
          Resumes: `s${number}`,
        };
        const call = { id: `s${number}-again`, headers };
        return { begun: first, resumed: await readStream(started[(number + 1) % 3]!, call) };
      }),
    );
  }

  function brokenOff(journeys: readonly Journey[]): readonly Journey[] {
    const broken = journeys.filter(({ begun }) => begun.eventIds.length > 0);
    expect(broken).to.have.length.at.least(STREAM_COUNT * 0.8);
    return broken;
  }

  function mixedOf(journeys: readonly Journey[]): readonly Journey[] {
    return journeys.filter(
      ({ begun, resumed }) => new Set([...begun.versions, ...resumed.versions]).size > 1,
    );
  }

  it('go on at the version that began them while servers of both versions serve', async () => {
    await start();
    const broken = brokenOff(await play({ listed: [...OLD_SERVERS, ...NEW_SERVERS] }));
    expect(mixedOf(broken)).to.have.length.at.most(MAX_MIXED_STREAMS);
    const wentOn = broken.filter(({ resumed }) => resumed.versions.length > 0);
    expect(wentOn.length / broken.length).to.be.at.least(MIN_SHARE_GONE_ON);
  });

  it('do not go on at the new version when the servers of the old one have just left', async () => {
    await start();
    const broken = brokenOff(
      await play({
        listed: NEW_SERVERS,
        beforeTheEnd: () => {
          removeServers(OLD_SERVERS);
          return sleep(300);
        },
      }),
    );
    expect(mixedOf(broken)).to.have.length.at.most(MAX_MIXED_STREAMS);
    const ofNew = broken.filter(({ begun }) => begun.versions[0] === 'v2');
    const wentOn = ofNew.filter(({ resumed }) => resumed.versions.length > 0);
    expect(wentOn.length / ofNew.length).to.be.at.least(MIN_SHARE_GONE_ON);
  });

  it('do not go on at the new version when it replaces the old one while no entry runs', async () => {
    await start();
    removeServers(NEW_SERVERS);
    await sawLeave(fleet.entries[0]!, NEW_SERVERS);
    const replace = (): void => {
      removeServers(OLD_SERVERS);
      NEW_SERVERS.forEach((number) =>
        fleet.store.putServer(`i-app-${number}`, fleet.servers[number]!.record('app')),
      );
    };
    const broken = brokenOff(await play({ listed: NEW_SERVERS, whileNoneRuns: replace }));
    expect(mixedOf(broken)).to.have.length.at.most(MAX_MIXED_STREAMS);
  });

  it('go on when there has been one version only', async () => {
    await start();
    removeServers(NEW_SERVERS);
    await Promise.all(fleet.entries.map((entry) => sawLeave(entry, NEW_SERVERS)));
    const broken = brokenOff(await play({ listed: OLD_SERVERS }));
    const wentOn = broken.filter(({ resumed }) => resumed.versions.length > 0);
    expect(wentOn.length / broken.length).to.be.at.least(MIN_SHARE_GONE_ON);
  });

  it('are refused, to be begun anew, where no process outlives the entries', async () => {
    await start(0);
    const broken = brokenOff(await play({ listed: [...OLD_SERVERS, ...NEW_SERVERS] }));
    broken.forEach(({ resumed }) => {
      expect(resumed).to.deep.equal({
        status: 503,
        hasRetryAfter: false,
        eventIds: [],
        versions: [],
      });
    });
  });
});
