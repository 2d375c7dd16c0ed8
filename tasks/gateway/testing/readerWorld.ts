import type { Milliseconds } from '../../../core/clock/mod.ts';
import { ConfigurationAge } from '../../../core/freshness/mod.ts';
import { RecordMirror } from '../../../core/mirror/mod.ts';
import type { MirroredRecord, MirrorUpdate } from '../../../core/mirror/mod.ts';
import { hashText } from '../../../core/placement/mod.ts';
import { PeerTask, StoreReaderTask, StoreTask, WATCH_WAIT_MS } from '../mod.ts';
import type { RecordStore, SharedStates } from '../mod.ts';
import { FakeNetwork } from './fakeNetwork.ts';

/** Key prefixes of the mirrors. */
export const PREFIXES = ['op/', 'servers/'] as const;

/** Watch time of the entries that read for others, as in production. */
const READER_WATCH_WAIT_MS: Milliseconds = 400;

/** Shortest time between two calls about servers, as in production. */
const SERVER_MIN_POLL_INTERVAL_MS: Milliseconds = 400;

const NO_STATE = { change: 0, updateSince: () => undefined, applyUpdate: () => undefined };

const NO_SHARED: SharedStates = {
  quarantine: NO_STATE,
  requests: NO_STATE,
  limits: NO_STATE,
  notices: NO_STATE,
};

const NO_SERVICES = {
  leases: { handleRequest: () => undefined },
  permits: { handleRequest: (): void => undefined },
  origins: { handleMessage: (): void => undefined },
};

/** Bytes of records as the store encodes them. */
function encodedBytes(records: readonly MirroredRecord[]): number {
  const valueBytes = records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
  return Math.ceil((valueBytes * 4) / 3);
}

/** A change of the store, and when it was acknowledged. */
type Change = MirroredRecord & { readonly at: Milliseconds };

/** An entry of the world. */
export type WorldEntry = {
  readonly address: string;
  readonly zone: string;
  readonly mirrors: ReadonlyMap<string, RecordMirror>;
  readonly ages: ReadonlyMap<string, ConfigurationAge>;
  readonly readers: StoreReaderTask | undefined;
  readonly peers: PeerTask;
  /** Removals that were applied, each with the grace period that it got. */
  readonly removals: { readonly key: string; readonly graceMs: Milliseconds | undefined }[];
  readonly ageMs: (prefix: string) => Milliseconds;
};

/** How entries are made. */
export type EntryOptions = {
  readonly isStrict?: boolean;
  /** An older build, without a task for store readers. */
  readonly isOld?: boolean;
};

/** Entries with the real tasks, and a store, on a network with a virtual clock. */
export class ReaderWorld {
  readonly network = new FakeNetwork();

  readonly entries: WorldEntry[] = [];

  /** Entries that the store does not answer. */
  readonly storeless = new Set<string>();

  /** Whether the store rejects all calls. */
  isStoreDown = false;

  /** Calls to the store so far. */
  calls = 0;

  readonly #changes: Change[] = [];

  #watchers: (() => void)[] = [];

  #hasResolved = false;

  #revision = 100;

  #random = 1;

  /** The time of the network's clock. */
  get now(): Milliseconds {
    return this.network.clock.now();
  }

  /** Starts an entry. */
  start(
    address: string,
    zone: string,
    { isStrict = true, isOld = false }: EntryOptions = {},
  ): WorldEntry {
    const { network } = this;
    const offset = hashText(address) % 1_000_000;
    const clock = network.clockOf(address, offset);
    const mirrors = new Map<string, RecordMirror>(
      PREFIXES.map((each) => [each, new RecordMirror()]),
    );
    const ages = new Map(PREFIXES.map((each) => [each as string, new ConfigurationAge()]));
    const removals: WorldEntry['removals'] = [];
    const toldGraceUntil = new Map<string, Milliseconds>();
    const log = (): void => undefined;
    let tasks: ReadonlyMap<string, StoreTask> = new Map();
    const graceUntil = (prefix: string): Milliseconds | undefined => {
      const told = toldGraceUntil.get(prefix) ?? -Infinity;
      const own = tasks.get(prefix)?.removalGraceUntil();
      return told > clock.now() ? Math.max(told, own ?? told) : own;
    };
    const readers = isOld
      ? undefined
      : new StoreReaderTask({
          address,
          availabilityZone: zone,
          clock,
          log,
          mirrors,
          ages,
          isStrict,
          isStoreCurrent: () => [...tasks.values()].every(({ isCurrent }) => isCurrent),
          onReader: (isReader) => {
            if (isReader) tasks.forEach((task) => task.resume());
          },
        });
    const apply = (prefix: string, update: MirrorUpdate, until: Milliseconds | undefined): void => {
      const changed = mirrors.get(prefix)!.apply(update) ?? [];
      changed
        .filter(({ value }) => value === undefined)
        .forEach(({ key }) =>
          removals.push({ key, graceMs: until === undefined ? undefined : until - clock.now() }),
        );
      readers?.noteUpdate(changed.length > 0);
    };
    tasks = new Map(
      PREFIXES.map((prefix) => [
        prefix,
        new StoreTask({
          store: this.#storeOf(address),
          prefix,
          mirror: mirrors.get(prefix)!,
          clock,
          log,
          random: () => this.random(),
          minPollIntervalMs: prefix === 'servers/' ? SERVER_MIN_POLL_INTERVAL_MS : 0,
          onUpdate: (update, until) => apply(prefix, update, until),
          onConfirmed: (at) => ages.get(prefix)?.noteConfirmed(at),
          ...(readers && {
            isReader: () => readers.isReader,
            watchWaitMs: () => (readers.isActive ? READER_WATCH_WAIT_MS : WATCH_WAIT_MS),
          }),
        }),
      ]),
    );
    const peers = new PeerTask({
      address,
      seeds: this.entries.slice(0, 3).map((entry) => entry.address),
      mirrors,
      clock,
      dial: network.dialFrom(address),
      log,
      lagMs: () => 1,
      shared: NO_SHARED,
      services: NO_SERVICES,
      readers,
      removalGraceUntil: graceUntil,
      onUpdate: (prefix, update, until) => {
        if (until !== undefined) toldGraceUntil.set(prefix, until);
        apply(prefix, update, graceUntil(prefix));
      },
    });
    network.listen(address, peers.accept);
    peers.start();
    readers?.start();
    tasks.forEach((task) => task.start());
    const entry: WorldEntry = {
      address,
      zone,
      mirrors,
      ages,
      readers,
      peers,
      removals,
      ageMs: (prefix) => ages.get(prefix)!.ageMs(clock.now()),
    };
    this.entries.push(entry);
    return entry;
  }

  /** Starts entries in several zones, some milliseconds apart. */
  async startMany(count: number, zones: number, options: EntryOptions = {}): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      this.start(`10.0.${index % zones}.${index}:7000`, `zone${index % zones}`, options);
      await this.run(this.random() * 20);
    }
  }

  /** Writes or removes a record; it is acknowledged at once. Returns its revision. */
  put(key: string, value: Uint8Array | undefined = new Uint8Array(40)): number {
    this.#revision += 1;
    this.#changes.push({ key, revision: this.#revision, value, at: this.now });
    const waiting = this.#watchers;
    this.#watchers = [];
    waiting.forEach((check) => check());
    return this.#revision;
  }

  /** Removes a record. */
  remove(key: string): number {
    this.#revision += 1;
    this.#changes.push({ key, revision: this.#revision, at: this.now });
    const waiting = this.#watchers;
    this.#watchers = [];
    waiting.forEach((check) => check());
    return this.#revision;
  }

  /** Returns the revision of the latest change under a prefix that was acknowledged by a time; 0 if none. */
  revisionAt(prefix: string, time: Milliseconds): number {
    const change = this.#changes.findLast(({ key, at }) => key.startsWith(prefix) && at <= time);
    return change?.revision ?? 0;
  }

  /** Returns when the first change under a prefix after a revision was acknowledged; `undefined` if there is none. */
  changedAfter(prefix: string, revision: number): Milliseconds | undefined {
    return this.#changes.find(
      (change) => change.key.startsWith(prefix) && change.revision > revision,
    )?.at;
  }

  /** Returns a pseudo-random number from 0 to 1; the same ones in each run. */
  random(): number {
    this.#random = (this.#random * 48_271) % 2_147_483_647;
    return this.#random / 2_147_483_647;
  }

  /** Advances time, with everything that is due. */
  async run(
    ms: Milliseconds,
    each?: { readonly everyMs: number; readonly check: () => void },
  ): Promise<void> {
    const { clock } = this.network;
    const end = clock.now() + ms;
    let checkAt = each === undefined ? Infinity : clock.now();
    await this.#settle();
    for (;;) {
      const due = clock.nextDue() ?? Infinity;
      if (checkAt <= Math.min(due, end)) {
        clock.advanceTo(checkAt);
        each?.check();
        checkAt += each?.everyMs ?? Infinity;
        continue;
      }
      if (due > end) break;
      clock.runNext();
      if (this.#hasResolved) await this.#settle();
    }
    clock.advanceTo(end);
  }

  async #settle(): Promise<void> {
    this.#hasResolved = false;
    for (let turn = 0; turn < 12; turn += 1) await Promise.resolve();
  }

  /** Returns the store as one entry sees it. */
  #storeOf(address: string): RecordStore {
    const call = (
      prefix: string,
      after: number | undefined,
      waitMs: Milliseconds,
      timeoutMs: Milliseconds,
    ): ReturnType<RecordStore['readAll']> => {
      this.calls += 1;
      return new Promise((resolve, reject) => {
        const settle = (run: () => void): void =>
          this.network.whenRunning(address, () => {
            this.#hasResolved = true;
            run();
          });
        const respond = (run: () => void, bytes = 0): void => {
          this.network.clock.schedule(1 + this.random() * 4, () => {
            const deliver = (): void => {
              if (!this.#isStoreless(address)) settle(run);
            };
            const transferMs = this.network.transfer(`in ${address}`, bytes);
            if (transferMs === 0) deliver();
            else this.network.clock.schedule(transferMs, deliver);
          });
        };
        this.network.clock.schedule(timeoutMs, () => settle(() => reject(new Error('timeout'))));
        this.network.clock.schedule(1 + this.random() * 4, () => {
          if (this.#isStoreless(address)) return;
          if (this.isStoreDown) {
            respond(() => reject(new Error('503')));
            return;
          }
          const expireAt = this.now + waitMs;
          const check = (): void => {
            const records = this.#recordsAfter(prefix, after);
            if (this.isStoreDown) respond(() => reject(new Error('503')));
            else if (records.length > 0 || after === undefined || this.now >= expireAt) {
              const revision = this.#revision;
              respond(() => resolve({ records, revision }), encodedBytes(records));
            } else this.#watchers.push(check);
          };
          check();
          if (after === undefined || this.#recordsAfter(prefix, after).length > 0) return;
          this.network.clock.schedule(waitMs, () => {
            if (!this.#watchers.includes(check)) return;
            this.#watchers = this.#watchers.filter((other) => other !== check);
            check();
          });
        });
      });
    };
    return {
      readAll: (prefix, timeoutMs) => call(prefix, undefined, 0, timeoutMs),
      watch: (prefix, revision, waitMs, responseTimeoutMs) =>
        call(prefix, revision, waitMs, waitMs + responseTimeoutMs),
    };
  }

  #isStoreless(address: string): boolean {
    return this.storeless.has(address) || this.network.partitioned.has(address);
  }

  #recordsAfter(prefix: string, after: number | undefined): readonly MirroredRecord[] {
    const latest = new Map<string, MirroredRecord>();
    this.#changes
      .filter(({ key, revision }) => key.startsWith(prefix) && revision > (after ?? 0))
      .forEach(({ key, value, revision }) => latest.set(key, { key, value, revision }));
    const records = [...latest.values()];
    return after === undefined ? records.filter(({ value }) => value !== undefined) : records;
  }
}
