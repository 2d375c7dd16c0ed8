import { expect } from 'chai';
import type { Milliseconds } from '../../core/clock/mod.ts';
import type { BackendServer } from '../../core/serving/mod.ts';
import { OriginLedger } from '../../core/streamOrigins/mod.ts';
import type { ServerKeeper } from '../../core/streamOrigins/mod.ts';
import { noteOrigins } from '../_originMessages.ts';
import type { OpenRequest } from './_openRequest.ts';
import { StreamVersions } from './_streamVersions.ts';
import type { ServerKeepers } from './serverKeepers.ts';
import { FakeNetwork } from './testing/fakeNetwork.ts';
import { listenForOrigins } from './testing/listenForOrigins.ts';

const SERVICE = 'llm';

/** Time after which an entry has watched for long enough to know all versions. */
const HISTORY_MS: Milliseconds = 60_000;

/** Interval at which entries read the store and tell each other what they know. */
const READ_INTERVAL_MS: Milliseconds = 400;

/** Time within which a stream that is taken up goes on or is refused. */
const MAX_HOLD_MS: Milliseconds = 1600;

const STREAM_COUNT = 12;

type Keeper = ServerKeeper & { readonly ledger: OriginLedger };

type Entry = {
  readonly name: string;
  readonly streams: StreamVersions;
  /** Versions whose servers it knows. */
  readonly versions: Set<string>;
  confirmedAt: Milliseconds;
};

/** What the entry under test cannot reach. */
type Cut = { readonly store?: boolean; readonly entries?: boolean; readonly keepers?: boolean };

function keepersOf(version: string, count: number): readonly Keeper[] {
  return Array.from({ length: count }, (_, index) => ({
    address: `keeper-${version}-${index}`,
    service: SERVICE,
    version,
    ledger: new OriginLedger(),
  }));
}

function requestOf(requestId: string, resumes?: string, isTakenUp = false): OpenRequest {
  return {
    head: { requestId, resumes, lastEventId: isTakenUp ? '2' : undefined },
    service: { name: SERVICE },
    route: { isStream: true, repeatability: 'resumable' },
    isFinished: false,
  } as unknown as OpenRequest;
}

/** Entries that serve a release, one of which can be out of step with the others. */
class World {
  readonly network = new FakeNetwork();

  readonly entries: Entry[] = [];

  readonly #keepers: Keeper[] = [];

  readonly #outcomes = new Map<string, string>();

  #versions: readonly string[] = [];

  #cut: Cut = {};

  #tries = 0;

  /** @param keeperCount Number of keepers of the old version; 0 for servers without keepers. */
  constructor(entryCount: number, keeperCount: number) {
    this.#keepers.push(...keepersOf('v1', keeperCount));
    this.#versions = ['v1'];
    Array.from({ length: entryCount }, (_, index) => this.#start(`e${index}`));
    this.network.run(HISTORY_MS + 1000);
  }

  /** The entry that gets out of step. */
  get stray(): Entry {
    return this.entries[0]!;
  }

  set cut(cut: Cut) {
    this.#cut = cut;
    const { name } = this.stray;
    if (cut.entries === true) this.network.partitioned.add(name);
    else this.network.partitioned.delete(name);
  }

  /** Lists servers of a new version, and lets the entries in touch with the store learn it. */
  release(): void {
    this.#versions = ['v1', 'v2'];
    if (this.#keepers.length > 0) this.#keepers.push(...keepersOf('v2', 4));
    this.network.run(2 * READ_INTERVAL_MS);
  }

  /** Begins streams at the new version, through the entries that are in step. */
  begin(): readonly string[] {
    const sound = this.entries.slice(1);
    return Array.from({ length: STREAM_COUNT }, (_, index) => {
      const requestId = `stream-${index}`;
      const entry = sound[index % sound.length]!;
      entry.streams.noteBegun(requestOf(requestId), { softwareVersion: 'v2' } as BackendServer);
      this.network.run(20);
      return requestId;
    });
  }

  /** Takes a stream up at an entry; `outcomeOf` tells what becomes of it. */
  takeUp(entry: Entry, resumes: string | undefined): string {
    this.#tries += 1;
    const requestId = `try-${this.#tries}`;
    const request = requestOf(requestId, resumes, true);
    this.network.whenRunning(entry.name, () => {
      if (entry.streams.isKnown(request)) this.#note(requestId, request.streamVersion);
    });
    return requestId;
  }

  outcomeOf(requestId: string): string {
    return this.#outcomes.get(requestId) ?? 'held';
  }

  #note(requestId: string, outcome: string | undefined): void {
    expect(this.#outcomes.has(requestId), 'a second outcome').to.equal(false);
    this.#outcomes.set(requestId, outcome ?? 'any version');
  }

  #isCut(entry: Entry, what: keyof Cut): boolean {
    return entry === this.stray && this.#cut[what] === true;
  }

  #start(name: string): void {
    const { network } = this;
    const clock = network.clockOf(name);
    let entry: Entry;
    const streams = new StreamVersions({
      clock,
      dial: network.dialFrom(name),
      log: () => undefined,
      metrics: { count: () => undefined } as never,
      self: name,
      incarnation: name,
      peers: () => this.entries.map((each) => each.name).filter((each) => each !== name),
      keepers: () => this.#keepersFor(entry),
      recordsAgeMs: () => clock.now() - entry.confirmedAt,
      dispatch: ({ head, streamVersion }) => this.#note(head.requestId, streamVersion),
      refuse: ({ head }) => this.#note(head.requestId, 'refused'),
    });
    entry = { name, streams, versions: new Set(['v1']), confirmedAt: clock.now() };
    this.entries.push(entry);
    listenForOrigins(network, name, streams.origins);
    streams.origins.start();
    const read = (): void => {
      this.#read(entry);
      entry.versions.forEach((softwareVersion) =>
        streams.noteServer({ service: SERVICE, softwareVersion } as BackendServer),
      );
      clock.schedule(READ_INTERVAL_MS, read);
    };
    read();
  }

  /** Reads the store, and what the other entries in touch know. */
  #read(entry: Entry): void {
    if (!this.#isCut(entry, 'store')) {
      this.#versions.forEach((version) => entry.versions.add(version));
      entry.confirmedAt = this.network.clock.now();
    }
    const inTouch = this.entries.filter(
      ({ name }) =>
        !this.network.partitioned.has(entry.name) &&
        !this.network.partitioned.has(name) &&
        this.network.isRunning(name),
    );
    inTouch.forEach(({ versions }) => versions.forEach((version) => entry.versions.add(version)));
  }

  #keepersFor(entry: Entry): ServerKeepers {
    const { network } = this;
    const known = this.#keepers.filter(({ version }) => entry.versions.has(version));
    const isOpen = (): boolean => !this.#isCut(entry, 'keepers');
    return {
      all: () => known,
      isOpen,
      send: (address, message) => {
        const keeper = known.find((each) => each.address === address);
        network.clock.schedule(1, () => {
          const now = network.clock.now();
          if (keeper === undefined || !isOpen()) return;
          if (message.kind === 'stream-origins') noteOrigins(keeper.ledger, message, now);
          if (message.kind !== 'origin-query') return;
          const { number } = message.query;
          const version = keeper.ledger.find(message.query, now)?.version;
          network.clock.schedule(1, () =>
            network.whenRunning(entry.name, () =>
              entry.streams.origins.applyAnswer(address, { number, version }),
            ),
          );
        });
      },
    };
  }
}

const CUTS: Readonly<Record<string, Cut>> = {
  'the other entries': { entries: true },
  'the store': { store: true },
  'the other entries and the store': { entries: true, store: true },
  'the other entries, the store and the keepers': { entries: true, store: true, keepers: true },
};

/** Numbers of entries, and of keepers of the old version. */
const SIZES = [
  [2, 0],
  [2, 8],
  [3, 0],
  [3, 8],
  [5, 12],
  [68, 24],
] as const;

/** Times from the beginning of the last stream until it is taken up. */
const DELAYS_MS: readonly Milliseconds[] = [0, 500, 3000];

describe('streams that begin at a new version during a release', () => {
  SIZES.forEach(([entryCount, keeperCount]) => {
    describe(`with ${entryCount} entries and ${keeperCount} keepers`, () => {
      let world: World;

      beforeEach(() => {
        world = new World(entryCount, keeperCount);
      });

      /** Takes streams up at the stray entry, by their names and without; returns what becomes of them. */
      function takeUpAll(ids: readonly string[]): readonly string[] {
        return ids.flatMap((id) => [
          world.takeUp(world.stray, id),
          world.takeUp(world.stray, undefined),
        ]);
      }

      function expectNotMixed(tries: readonly string[]): void {
        const outcomes = new Set(tries.map((each) => world.outcomeOf(each)));
        expect([...outcomes]).to.not.include.members(['v1']);
        expect([...outcomes]).to.not.include.members(['any version']);
        expect([...outcomes]).to.not.include.members(['held']);
      }

      function expectInStepAgain(ids: readonly string[]): void {
        world.network.run(3000);
        const tries = ids.map((id) => world.takeUp(world.stray, id));
        world.network.run(MAX_HOLD_MS);
        const goneOn = tries.filter((each) => world.outcomeOf(each) === 'v2');
        expect(goneOn.length / tries.length).to.be.at.least(0.9);
      }

      it('go on at the only version while there is no other', () => {
        const tries = takeUpAll(['unknown']);
        world.network.run(MAX_HOLD_MS);
        expect(tries.map((each) => world.outcomeOf(each))).to.deep.equal(['v1', 'v1']);
      });

      Object.entries(CUTS).forEach(([name, cut]) => {
        describe(`taken up at an entry that is cut off from ${name}`, () => {
          // Guards against processes that cannot know of the new version and still count as proof of the old one.
          DELAYS_MS.forEach((delayMs) => {
            it(`do not go on at the old version (${delayMs} ms later)`, () => {
              world.cut = cut;
              world.network.run(1000);
              world.release();
              const ids = world.begin();
              world.network.run(delayMs);
              const tries = takeUpAll(ids);
              world.network.run(MAX_HOLD_MS);
              expectNotMixed(tries);
              world.cut = {};
              const after = takeUpAll(ids);
              world.network.run(MAX_HOLD_MS);
              expectNotMixed(after);
              expectInStepAgain(ids);
            });
          });
        });
      });

      describe('taken up at an entry that stands still', () => {
        DELAYS_MS.forEach((delayMs) => {
          it(`do not go on at the old version (it goes on ${delayMs} ms later)`, () => {
            world.network.pause(world.stray.name);
            world.network.run(1000);
            world.release();
            const ids = world.begin();
            const early = takeUpAll(ids);
            world.network.run(delayMs);
            world.network.continue(world.stray.name);
            const late = takeUpAll(ids);
            world.network.run(MAX_HOLD_MS);
            expectNotMixed([...early, ...late]);
            expectInStepAgain(ids);
          });

          it(`do not go on at the old version when it is cut off as it goes on (${delayMs} ms later)`, () => {
            world.network.pause(world.stray.name);
            world.network.run(1000);
            world.release();
            const ids = world.begin();
            world.network.run(delayMs);
            world.cut = { entries: true, store: true };
            world.network.continue(world.stray.name);
            const tries = takeUpAll(ids);
            world.network.run(MAX_HOLD_MS);
            expectNotMixed(tries);
            world.cut = {};
            expectInStepAgain(ids);
          });

          it(`do not go on at the old version when it stands still after it has asked (${delayMs} ms)`, () => {
            world.cut = { store: true };
            world.release();
            const ids = world.begin();
            world.cut = { entries: true, store: true };
            const tries = takeUpAll(ids);
            world.network.run(3);
            world.network.pause(world.stray.name);
            world.network.run(1000 + delayMs);
            world.network.continue(world.stray.name);
            world.network.run(MAX_HOLD_MS);
            expectNotMixed(tries);
            world.cut = {};
            expectInStepAgain(ids);
          });
        });
      });
    });
  });
});
