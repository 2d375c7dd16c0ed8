import { RecordMirror } from '../../core/mirror/mod.ts';
import type { MirrorUpdate, MirroredRecord } from '../../core/mirror/mod.ts';
import type { Milliseconds } from '../../core/clock/mod.ts';
import type { ConfigurationAge } from '../../core/freshness/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import {
  decodeAdapterRelease,
  decodeBackendServer,
  decodeDeployment,
  DEPLOYMENT_KEY,
  OPERATOR_PREFIX,
  RELEASE_PREFIX,
  SERVER_PREFIX,
  StoreClient,
} from '../../platform/mod.ts';
import type { ProcessSettings } from '../../platform/mod.ts';
import { StoreReaderTask, StoreTask, WATCH_WAIT_MS } from '../../tasks/gateway/mod.ts';
import type { Gateway, Mirrors } from '../../tasks/gateway/mod.ts';
import { realClock } from '../../transport/mod.ts';

/** Options of `StoreRecords`. */
export type StoreRecordsOptions = {
  readonly settings: Pick<
    ProcessSettings,
    'storeAddress' | 'peerAddress' | 'availabilityZone' | 'keyWithdrawalMs'
  >;
  /** Receives the decoded records. */
  readonly gateway: Gateway;
  /** Learns when the configuration was known to be the newest one. */
  readonly configurationAge: ConfigurationAge;
  /** Learns when the records of the servers were known to be the newest ones. */
  readonly serverRecordsAge: ConfigurationAge;
  readonly log: Log;
  readonly metrics: Pick<Metrics, 'count'>;
  /** Called after records have changed. */
  readonly onChange: () => void;
};

/** Shortest poll interval for backend servers; batches changes. A removal must apply within two seconds. */
const SERVER_MIN_POLL_INTERVAL_MS: Milliseconds = 400;

/** Characters of an error that are logged: that of a large record can be as long as the record. */
const MAX_LOGGED_CHARACTERS = 500;

/** Time for which a watch waits where a few entries read the store for all: what they tell must be fresh. */
const READER_WATCH_WAIT_MS: Milliseconds = 400;

/** Mirrors of the store's records, kept current by watches of the store and by gossip from other entries. */
export class StoreRecords {
  /** Decides which entries read the store; `undefined` on a host that has no links to other entries. */
  readonly readers: StoreReaderTask | undefined;

  readonly #options: StoreRecordsOptions;

  readonly #store: StoreClient;

  readonly #mirrors: ReadonlyMap<string, RecordMirror>;

  readonly #ages: ReadonlyMap<string, ConfigurationAge>;

  readonly #tasks: ReadonlyMap<string, StoreTask>;

  /** Ends of the grace periods for removed records that other entries have told, by key prefix. */
  readonly #toldGraceUntil = new Map<string, Milliseconds>();

  /** Whether the newest configuration cannot be decoded, so that an older one is in force. */
  #isDeploymentUnreadable = false;

  constructor(options: StoreRecordsOptions) {
    this.#options = options;
    this.#store = new StoreClient(options.settings.storeAddress);
    const prefixes = [OPERATOR_PREFIX, SERVER_PREFIX];
    this.#mirrors = new Map(prefixes.map((prefix) => [prefix, new RecordMirror()]));
    this.#ages = new Map([
      [OPERATOR_PREFIX, options.configurationAge],
      [SERVER_PREFIX, options.serverRecordsAge],
    ]);
    this.readers = this.#createReaders();
    this.#tasks = new Map(prefixes.map((prefix) => [prefix, this.#createTask(prefix)]));
  }

  /** The mirrors, by key prefix. */
  get mirrors(): Mirrors {
    return this.#mirrors;
  }

  /** Starts to watch the store. */
  start(): void {
    this.#tasks.forEach((task) => task.start());
  }

  /**
   * Applies an update from another entry.
   *
   * @param toldGraceUntil When the grace period for removed records ends that the other entry grants.
   */
  applyPeerUpdate(
    prefix: string,
    update: MirrorUpdate,
    toldGraceUntil: Milliseconds | undefined,
  ): void {
    if (toldGraceUntil !== undefined) {
      const known = this.#toldGraceUntil.get(prefix) ?? -Infinity;
      this.#toldGraceUntil.set(prefix, Math.max(known, toldGraceUntil));
    }
    if (!this.#applyUpdate(prefix, update, this.removalGraceUntil(prefix))) return;
    this.#options.log('peerTaught', { prefix, asOf: update.asOf });
  }

  /**
   * When the grace period for removed records ends, by the calls of this entry or by those of the entry
   * that told it of the removal. `undefined` if there is none.
   */
  removalGraceUntil(prefix: string): Milliseconds | undefined {
    const own = this.#tasks.get(prefix)?.removalGraceUntil();
    const told = this.#toldGraceUntil.get(prefix);
    if (told === undefined || told <= realClock.now()) return own;
    return Math.max(own ?? -Infinity, told);
  }

  /** Stops watching and closes the store client. */
  close(): Promise<void> {
    this.#tasks.forEach((task) => task.close());
    return this.#store.close();
  }

  #createReaders(): StoreReaderTask | undefined {
    const { settings, log } = this.#options;
    const { peerAddress, availabilityZone, keyWithdrawalMs } = settings;
    if (peerAddress === undefined) return undefined;
    return new StoreReaderTask({
      address: peerAddress,
      availabilityZone,
      clock: realClock,
      log,
      mirrors: this.#mirrors,
      ages: this.#ages,
      isStrict: keyWithdrawalMs !== undefined,
      isStoreCurrent: () => [...this.#tasks.values()].every(({ isCurrent }) => isCurrent),
      onReader: (isReader) => {
        if (isReader) this.#tasks.forEach((task) => task.resume());
      },
      firstNumber: Date.now(),
    });
  }

  #createTask(prefix: string): StoreTask {
    const { readers } = this;
    return new StoreTask({
      store: this.#store,
      prefix,
      mirror: this.#mirrors.get(prefix)!,
      clock: realClock,
      log: this.#options.log,
      random: Math.random,
      minPollIntervalMs: prefix === SERVER_PREFIX ? SERVER_MIN_POLL_INTERVAL_MS : 0,
      onUpdate: (update, removalGraceUntil) => this.#applyUpdate(prefix, update, removalGraceUntil),
      onConfirmed: (at) => {
        // The configuration in force is not the newest one if that one cannot be decoded.
        if (prefix === OPERATOR_PREFIX && this.#isDeploymentUnreadable) return;
        this.#ages.get(prefix)?.noteConfirmed(at);
      },
      ...(readers && {
        isReader: () => readers.isReader,
        watchWaitMs: () => (readers.isActive ? READER_WATCH_WAIT_MS : WATCH_WAIT_MS),
      }),
    });
  }

  /**
   * Applies an update to one mirror; returns whether it changed the mirror.
   *
   * @param removalGraceUntil When the grace period for removed records ends; `undefined` if there is none.
   */
  #applyUpdate(
    prefix: string,
    update: MirrorUpdate,
    removalGraceUntil: Milliseconds | undefined,
  ): boolean {
    const changedRecords = this.#mirrors.get(prefix)?.apply(update) ?? [];
    changedRecords.forEach((record) => this.#applyRecord(prefix, record, removalGraceUntil));
    this.readers?.noteUpdate(changedRecords.length > 0);
    if (changedRecords.length === 0) return false;
    this.#options.onChange();
    return true;
  }

  /** Applies one record; an error concerns this record alone, since the mirror is past all of them. */
  #applyRecord(
    prefix: string,
    record: MirroredRecord,
    removalGraceUntil: Milliseconds | undefined,
  ): void {
    try {
      if (prefix === SERVER_PREFIX) this.#applyServer(record, removalGraceUntil);
      else this.#applyOperatorRecord(record);
    } catch (error) {
      this.#skip(record.key, error);
    }
  }

  /** Logs and counts a record that is not applied. */
  #skip(key: string, error?: unknown): void {
    const { log, metrics } = this.#options;
    metrics.count('records_skipped_total');
    log('recordUnreadable', {
      key,
      ...(error !== undefined && { error: String(error).slice(0, MAX_LOGGED_CHARACTERS) }),
    });
  }

  #applyOperatorRecord({ key, value }: MirroredRecord): void {
    const { gateway } = this.#options;
    if (value === undefined) return;
    if (key === DEPLOYMENT_KEY) {
      this.#isDeploymentUnreadable = true;
      gateway.applyDeployment(decodeDeployment(value));
      this.#isDeploymentUnreadable = false;
    }
    if (!key.startsWith(RELEASE_PREFIX)) return;
    const release = decodeAdapterRelease(value);
    if (release === undefined) this.#skip(key);
    else gateway.applyRelease(release.name, release.version);
  }

  #applyServer({ key, value }: MirroredRecord, removalGraceUntil: Milliseconds | undefined): void {
    const { gateway } = this.#options;
    const id = key.slice(SERVER_PREFIX.length);
    if (value === undefined) {
      gateway.servers.remove(id, removalGraceUntil);
      return;
    }
    const server = decodeBackendServer(id, value);
    if (server === undefined) this.#skip(key);
    else gateway.servers.put(server);
  }
}
