import { RecordMirror } from '../../core/mirror/mod.ts';
import type { MirrorNews, MirroredRecord } from '../../core/mirror/mod.ts';
import type { Milliseconds } from '../../core/clock/mod.ts';
import type { Log } from '../../log/mod.ts';
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
import type { SocketAddress } from '../../platform/mod.ts';
import { StoreTask } from '../../tasks/gateway/mod.ts';
import type { Gateway, Mirrors } from '../../tasks/gateway/mod.ts';
import { realClock } from '../../transport/mod.ts';

/** How to build `StoreRecords`. */
export type StoreRecordsOptions = {
  readonly storeAddress: SocketAddress;
  /** Takes what the records say. */
  readonly gateway: Gateway;
  readonly log: Log;
  /** Told after records have changed. */
  readonly changed: () => void;
};

/** Time in which changes of servers gather; a server that leaves must be left within two seconds. */
const SERVERS_PACE_MS: Milliseconds = 400;

/** Copies of the store's records, followed by calls of the store and brought forward by other entries. */
export class StoreRecords {
  readonly #options: StoreRecordsOptions;

  readonly #store: StoreClient;

  readonly #mirrors: ReadonlyMap<string, RecordMirror>;

  readonly #tasks: ReadonlyMap<string, StoreTask>;

  constructor(options: StoreRecordsOptions) {
    this.#options = options;
    this.#store = new StoreClient(options.storeAddress);
    const prefixes = [OPERATOR_PREFIX, SERVER_PREFIX];
    this.#mirrors = new Map(prefixes.map((prefix) => [prefix, new RecordMirror()]));
    this.#tasks = new Map(prefixes.map((prefix) => [prefix, this.#createTask(prefix)]));
  }

  /** The copies, by what their keys begin with. */
  get mirrors(): Mirrors {
    return this.#mirrors;
  }

  /** Begins to follow the store. */
  start(): void {
    this.#tasks.forEach((task) => task.start());
  }

  /** Takes what another entry knows. */
  learn(prefix: string, news: MirrorNews): void {
    if (!this.#take(prefix, news, this.#tasks.get(prefix)?.returnUntil())) return;
    this.#options.log('peerTaught', { prefix, asOf: news.asOf });
  }

  /** Follows no more. */
  close(): Promise<void> {
    this.#tasks.forEach((task) => task.close());
    return this.#store.close();
  }

  #createTask(prefix: string): StoreTask {
    return new StoreTask({
      store: this.#store,
      prefix,
      mirror: this.#mirrors.get(prefix)!,
      clock: realClock,
      log: this.#options.log,
      random: Math.random,
      paceMs: prefix === SERVER_PREFIX ? SERVERS_PACE_MS : 0,
      tell: (news, returnUntil) => this.#take(prefix, news, returnUntil),
    });
  }

  /**
   * Takes news of one copy; returns whether they changed it.
   *
   * @param returnUntil Until when removed records may come back.
   */
  #take(prefix: string, news: MirrorNews, returnUntil: Milliseconds | undefined): boolean {
    const changed = this.#mirrors.get(prefix)?.apply(news) ?? [];
    changed.forEach((record) => {
      if (prefix === SERVER_PREFIX) this.#applyServer(record, returnUntil);
      else this.#applyOperatorRecord(record);
    });
    if (changed.length === 0) return false;
    this.#options.changed();
    return true;
  }

  #applyOperatorRecord({ key, value }: MirroredRecord): void {
    const { gateway, log } = this.#options;
    if (value === undefined) return;
    try {
      if (key === DEPLOYMENT_KEY) gateway.applyDeployment(decodeDeployment(value));
      if (!key.startsWith(RELEASE_PREFIX)) return;
      const release = decodeAdapterRelease(value);
      if (release === undefined) log('recordUnreadable', { key });
      else gateway.applyRelease(release.name, release.version);
    } catch (error) {
      log('recordUnreadable', { key, error: String(error) });
    }
  }

  #applyServer({ key, value }: MirroredRecord, returnUntil: Milliseconds | undefined): void {
    const { gateway, log } = this.#options;
    const id = key.slice(SERVER_PREFIX.length);
    if (value === undefined) {
      gateway.servers.remove(id, returnUntil);
      return;
    }
    const server = decodeBackendServer(id, value);
    if (server === undefined) log('recordUnreadable', { key });
    else gateway.servers.put(server);
  }
}
