import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Log } from '../../log/mod.ts';
import { StoreError } from '../../platform/mod.ts';
import type { StoreReading, StoreRecord } from '../../platform/mod.ts';

/** The calls of the store that the task makes. */
export type RecordStore = {
  readonly readAll: (prefix: string) => Promise<StoreReading>;
  readonly watch: (prefix: string, revision: number, waitMs: Milliseconds) => Promise<StoreReading>;
};

/** What the task tells its owner. */
export type StoreNews =
  /** All records; `isAfterOutage` when the store did not answer for a while before. */
  | {
      readonly kind: 'all';
      readonly records: readonly StoreRecord[];
      readonly isAfterOutage: boolean;
    }
  | {
      readonly kind: 'changes';
      readonly records: readonly StoreRecord[];
      readonly isAfterOutage: boolean;
    };

/** How to build a `StoreTask`. */
export type StoreTaskOptions = {
  readonly store: RecordStore;
  readonly prefix: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly tell: (news: StoreNews) => void;
  /** A number from 0 to 1, which spreads the calls of many processes. */
  readonly random: () => number;
};

/** Time for which one call waits for changes; a silent connection is noticed soon after it. */
const WATCH_MS: Milliseconds = 2000;

/** Time after the first failed call until the next one; doubles up to the longest. */
const FIRST_RETRY_MS: Milliseconds = 150;

const LONGEST_RETRY_MS: Milliseconds = 800;

/** Time after an outage in which removed records may still come back. */
const AFTER_OUTAGE_MS: Milliseconds = 2000;

/** Follows all records under one prefix of the store. */
export class StoreTask {
  readonly #options: StoreTaskOptions;

  #revision: number | undefined;

  #failures = 0;

  #outageEndedAt = -Infinity;

  #isClosed = false;

  constructor(options: StoreTaskOptions) {
    this.#options = options;
  }

  /** Begins to follow. */
  start(): void {
    this.#turn();
  }

  /** Follows no more. */
  close(): void {
    this.#isClosed = true;
  }

  #turn(): void {
    if (this.#isClosed) return;
    this.#read()
      .then(() => this.#turn())
      .catch((error: unknown) => this.#fail(error));
  }

  async #read(): Promise<void> {
    const { store, prefix } = this.#options;
    if (this.#revision === undefined) {
      const { records, revision } = await store.readAll(prefix);
      this.#succeed();
      this.#revision = revision;
      this.#options.tell({ kind: 'all', records, isAfterOutage: this.#isAfterOutage() });
      return;
    }
    const { records, revision } = await store.watch(prefix, this.#revision, WATCH_MS);
    this.#succeed();
    this.#revision = revision;
    if (records.length === 0) return;
    this.#options.tell({ kind: 'changes', records, isAfterOutage: this.#isAfterOutage() });
  }

  #isAfterOutage(): boolean {
    return this.#options.clock.now() - this.#outageEndedAt < AFTER_OUTAGE_MS;
  }

  #succeed(): void {
    if (this.#failures === 0) return;
    const { clock, log, prefix } = this.#options;
    if (this.#failures > 1) this.#outageEndedAt = clock.now();
    log('storeBack', { prefix, failures: this.#failures });
    this.#failures = 0;
  }

  #fail(error: unknown): void {
    const { clock, log, prefix, random } = this.#options;
    if (error instanceof StoreError && error.isHistoryGone) this.#revision = undefined;
    this.#failures += 1;
    if (this.#failures === 1) log('storeDown', { prefix, error: String(error) });
    const pause = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** (this.#failures - 1));
    clock.schedule(pause * (0.5 + random()), () => this.#turn());
  }
}
