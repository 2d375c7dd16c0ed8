import { expect } from 'chai';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { OriginLedger } from '../../core/streamOrigins/mod.ts';
import type { ServerKeeper, StreamKey } from '../../core/streamOrigins/mod.ts';
import { noteOrigins } from '../_originMessages.ts';
import { OriginTask } from './originTask.ts';
import type { ServerKeepers } from './serverKeepers.ts';
import { FakeNetwork } from './testing/fakeNetwork.ts';
import { listenForOrigins } from './testing/listenForOrigins.ts';

const SERVICE = 'llm';

const ZONES = 3;

const VERSIONS = ['v1', 'v2'] as const;

const STREAM_COUNT = 200;

/** Time from the start of an entry until it knows the other entries and the keepers. */
const DISCOVERY_MS = 400;

/** Longest time that a caller who takes a stream up may wait for its answer. */
const MAX_HOLD_MS = 1600;

/** Share of the streams that must be known while servers of their version serve. */
const MIN_KNOWN = 0.9;

type Keeper = ServerKeeper & { readonly zone: number; ledger: OriginLedger };

type Entry = {
  readonly name: string;
  readonly zone: number;
  readonly task: OriginTask;
  readonly startedAt: number;
  /** Results of its questions, by request id. */
  readonly results: Map<string, { readonly version: string | undefined; readonly at: number }>;
};

type Stream = { readonly key: StreamKey; readonly version: string };

type Shares = { readonly known: number; readonly wrong: number };

/** Entries and keepers of servers of two versions, on a virtual network. */
class World {
  readonly network = new FakeNetwork();

  readonly keepers: Keeper[];

  readonly entries: Entry[] = [];

  readonly streams: Stream[] = [];

  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  #starts = 0;

  constructor(entryCount: number, keeperCount: number, seed: number) {
    this.#generator = xoroshiro128plus(seed);
    this.keepers = Array.from({ length: keeperCount }, (_, index) => ({
      address: `k${index}`,
      service: SERVICE,
      version: VERSIONS[index % 2]!,
      zone: Math.floor(index / 2) % ZONES,
      ledger: new OriginLedger(),
    }));
    Array.from({ length: entryCount }, (_, index) => this.start(`e${index}`, index % ZONES));
    this.network.run(2000);
  }

  pick(count: number): number {
    return uniformInt(this.#generator, 0, count - 1);
  }

  start(name: string, zone: number): Entry {
    const { network } = this;
    network.partitioned.delete(name);
    const startedAt = network.clock.now();
    const results: Entry['results'] = new Map();
    const hasDiscovered = (): boolean => network.clock.now() >= startedAt + DISCOVERY_MS;
    this.#starts += 1;
    const keepers = this.#keepersOf(name, hasDiscovered, (address, answer) =>
      this.entries.find((entry) => entry.name === name)?.task.applyAnswer(address, answer),
    );
    const task = new OriginTask({
      self: name,
      processName: `p${this.#starts}`,
      peers: () =>
        hasDiscovered()
          ? this.entries.map((entry) => entry.name).filter((each) => each !== name)
          : [],
      keepers: () => keepers,
      clock: network.clock,
      dial: network.dialFrom(name),
      log: () => undefined,
      summaryOf: () => ({ versions: [...VERSIONS], isComplete: false }),
      onResult: ({ requestId }, { version }) =>
        results.set(requestId, { version, at: network.clock.now() }),
    });
    listenForOrigins(network, name, task);
    task.start();
    const entry = { name, zone, task, startedAt, results };
    this.entries.push(entry);
    return entry;
  }

  /** Ends the entries of each zone, and starts them again, one zone after the other. */
  restartInSeries(downMs: number): void {
    for (let zone = 0; zone < ZONES; zone += 1) {
      const ended = this.entries.filter((entry) => entry.zone === zone);
      this.kill(ended);
      this.network.run(downMs);
      ended.forEach(({ name }) => this.start(name, zone));
    }
  }

  /** Ends entries in the middle of their work. */
  kill(entries: readonly Entry[]): void {
    [...entries].forEach((entry) => {
      this.network.partitioned.add(entry.name);
      entry.task.close();
      this.entries.splice(this.entries.indexOf(entry), 1);
    });
  }

  /** Takes the servers of a version away, and the keepers beside them. */
  removeVersion(version: string): void {
    const left = this.keepers.filter((keeper) => keeper.version !== version);
    this.keepers.splice(0, Infinity, ...left);
  }

  /** Begins streams at some entries. */
  begin(count = STREAM_COUNT, entries: readonly Entry[] = this.entries): void {
    for (let number = 0; number < count; number += 1) {
      const versions = [...new Set(this.keepers.map(({ version }) => version))];
      const stream = {
        key: { service: SERVICE, requestId: `r${this.streams.length}` },
        version: versions[this.pick(versions.length)]!,
      };
      this.streams.push(stream);
      const entry = entries[this.pick(entries.length)]!;
      entry.task.note(stream.key, stream.version);
      entry.task.flush();
      this.network.run(5);
    }
  }

  /** Takes all streams up at entries; returns which shares of them are known, and known wrongly. */
  takeUp(streams: readonly Stream[] = this.streams): Shares {
    const asked = streams.map((stream) => {
      const entry = this.entries[this.pick(this.entries.length)]!;
      const askedAt = this.network.clock.now();
      const version = entry.task.versionOf(stream.key);
      if (version === undefined) entry.task.lookUp(stream.key);
      else entry.results.set(stream.key.requestId, { version, at: askedAt });
      return { stream, entry, askedAt };
    });
    this.network.run(MAX_HOLD_MS);
    const answers = asked.map(({ stream, entry, askedAt }) => {
      const result = entry.results.get(stream.key.requestId);
      expect(result, 'a question without an answer').to.not.equal(undefined);
      expect(result!.at - askedAt).to.be.at.most(MAX_HOLD_MS);
      return { found: result!.version, right: stream.version };
    });
    const known = answers.filter(({ found }) => found !== undefined);
    const wrong = known.filter(({ found, right }) => found !== right);
    return { known: known.length / streams.length, wrong: wrong.length };
  }

  #keepersOf(
    entry: string,
    hasDiscovered: () => boolean,
    onAnswer: (
      address: string,
      answer: { readonly number: number; readonly version: string | undefined },
    ) => void,
  ): ServerKeepers {
    const { network } = this;
    const isReachable = (address: string): boolean =>
      !network.partitioned.has(address) && !network.partitioned.has(entry);
    const deliver = (address: string, run: () => void): void => {
      network.clock.schedule(1, () => {
        if (isReachable(address)) run();
      });
    };
    return {
      all: () => (hasDiscovered() ? this.keepers : []),
      isOpen: isReachable,
      send: (address, message) =>
        deliver(address, () => {
          const keeper = this.keepers.find((each) => each.address === address);
          const now = network.clock.now();
          if (keeper === undefined) return;
          if (message.kind === 'stream-origins') {
            noteOrigins(keeper.ledger, message, now);
            return;
          }
          if (message.kind !== 'origin-query') return;
          const { number } = message.query;
          const version = keeper.ledger.find(message.query, now)?.version;
          deliver(address, () => onAnswer(address, { number, version }));
        }),
    };
  }
}

/** Numbers of entries and keepers. */
const SIZES = [
  [1, 4],
  [3, 6],
  [30, 24],
  [68, 54],
  [300, 120],
] as const;

describe('origins of streams that entries and keepers keep', () => {
  SIZES.forEach(([entryCount, keeperCount]) => {
    describe(`with ${entryCount} entries and ${keeperCount} keepers`, () => {
      let world: World;

      beforeEach(() => {
        world = new World(entryCount, keeperCount, 1);
      });

      function restartAll(downMs: number): void {
        const ended = [...world.entries];
        world.kill(ended);
        world.network.run(downMs);
        ended.forEach(({ name, zone }) => world.start(name, zone));
      }

      function expectKnown({ known, wrong }: Shares): void {
        expect(wrong).to.equal(0);
        expect(known).to.be.at.least(MIN_KNOWN);
      }

      it('are known after the end of all entries, to those that have just started', () => {
        world.begin();
        restartAll(600);
        expectKnown(world.takeUp());
      });

      it('are known after the end of all entries but one', () => {
        world.begin();
        const [, ...ended] = world.entries;
        world.kill(ended);
        ended.forEach(({ name, zone }) => world.start(name, zone));
        expectKnown(world.takeUp());
      });

      it('are known after the end of all entries in series', () => {
        world.begin();
        world.restartInSeries(500);
        expectKnown(world.takeUp());
      });

      it('are known after the end of all entries and of the keepers of a zone', () => {
        world.begin();
        world.keepers
          .filter(({ zone }) => zone === 0)
          .forEach(({ address }) => world.network.partitioned.add(address));
        restartAll(600);
        expectKnown(world.takeUp());
      });

      it('are known to the entries when all keepers have started again', () => {
        world.begin();
        world.keepers.forEach((keeper) => {
          keeper.ledger = new OriginLedger();
        });
        expectKnown(world.takeUp());
      });

      it('are known after a release just before the end of all entries', () => {
        world.begin();
        world.removeVersion('v1');
        restartAll(1000);
        expectKnown(world.takeUp(world.streams.filter(({ version }) => version === 'v2')));
        expect(world.takeUp().wrong).to.equal(0);
      });

      it('are known after a release while no entry runs', () => {
        world.begin();
        const ended = [...world.entries];
        world.kill(ended);
        world.removeVersion('v1');
        ended.forEach(({ name, zone }) => world.start(name, zone));
        expectKnown(world.takeUp(world.streams.filter(({ version }) => version === 'v2')));
      });

      it('are not known wrongly when keepers are cut off from some entries', () => {
        world.keepers
          .filter((_, index) => index % 4 === 0)
          .forEach(({ address }) => world.network.partitioned.add(address));
        world.begin();
        world.keepers.forEach(({ address }) => world.network.partitioned.delete(address));
        restartAll(600);
        expectKnown(world.takeUp());
      });

      it('are known to entries that stood still while others began the streams', () => {
        const frozen = world.entries.filter((_, index) => index % 3 === 2);
        frozen.forEach(({ name }) => world.network.partitioned.add(name));
        const running = world.entries.filter((entry) => !frozen.includes(entry));
        world.begin(STREAM_COUNT, running);
        frozen.forEach(({ name }) => world.network.partitioned.delete(name));
        expectKnown(world.takeUp());
      });

      it('are unknown when all entries and all keepers have started again', () => {
        world.begin();
        world.keepers.forEach((keeper) => {
          keeper.ledger = new OriginLedger();
        });
        restartAll(600);
        expect(world.takeUp()).to.deep.equal({ known: 0, wrong: 0 });
      });

      it('are unknown for a name that nobody has given, and for one of two versions', () => {
        world.begin();
        const [first] = world.entries;
        const key = { service: SERVICE, requestId: 'twice' };
        first!.task.note(key, 'v1');
        world.network.run(50);
        restartAll(600);
        world.network.run(DISCOVERY_MS);
        world.entries.at(-1)!.task.note(key, 'v2');
        world.network.run(50);
        restartAll(600);
        const forged = { key: { ...key, requestId: 'forged' }, version: '' };
        expect(world.takeUp([{ key, version: '' }, forged])).to.deep.equal({ known: 0, wrong: 0 });
      });
    });
  });
});
