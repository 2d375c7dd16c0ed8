import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { MirrorNews, RecordMirror } from '../../core/mirror/mod.ts';
import type { Log } from '../../log/mod.ts';
import { StoreError } from '../../platform/mod.ts';
import type { StoreReading } from '../../platform/mod.ts';

/** The calls of the store that the task makes. */
export type RecordStore = {
  readonly readAll: (prefix: string, patienceMs: Milliseconds) => Promise<StoreReading>;
  readonly watch: (
    prefix: string,
    revision: number,
    waitMs: Milliseconds,
    patienceMs: Milliseconds,
  ) => Promise<StoreReading>;
};

/** How to build a `StoreTask`. */
export type StoreTaskOptions = {
  readonly store: RecordStore;
  readonly prefix: string;
  /** The copy that is brought forward; its revision is where the next call goes on. */
  readonly mirror: RecordMirror;
  readonly clock: Clock;
  readonly log: Log;
  /** Told of what the store says, and until when removed records may come back. */
  readonly tell: (news: MirrorNews, returnUntil: Milliseconds | undefined) => void;
  /** A number from 0 to 1, which spreads the calls of many processes. */
  readonly random: () => number;
  /** Least time between two calls, in which changes gather; calls are paid for. @default 0 */
  readonly paceMs?: Milliseconds;
};

/**
 * Time for which one call waits for changes. A connection that has fallen silent is noticed only after
 * it, and a change must be in force within two seconds.
 */
const WATCH_MS: Milliseconds = 1000;

/** Time for which a call after a failed one waits, so that the end of an outage is noticed at once. */
const PROBE_MS: Milliseconds = 1;

/** Time from a failed call until the next one; short, since an outage may end at any moment. */
const RETRY_MS: Milliseconds = 200;

/**
 * Time after which a call without an answer is given up. The store answers in some milliseconds, or in
 * a few hundred when it is slow; a connection that a partition has silenced never answers.
 */
const PATIENCE_MS: Milliseconds = 600;

/** The patience of each third call after failures, for a store that is slower than expected. */
const LONG_PATIENCE_MS: Milliseconds = 2500;

/** Time after an outage in which removed records may still come back. */
const AFTER_OUTAGE_MS: Milliseconds = 2000;

/** Follows all records under one prefix of the store. */
export class StoreTask {
  readonly #options: StoreTaskOptions;

  /** Whether all records must be read, since the history that a watch needs is gone. */
  #isHistoryGone = false;

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

  /**
   * Until when records that were removed may come back: while the store is away, and a while after its
   * return. `undefined` while it answers.
   */
  returnUntil(): Milliseconds | undefined {
    const now = this.#options.clock.now();
    if (this.#failures > 1) return now + AFTER_OUTAGE_MS;
    const until = this.#outageEndedAt + AFTER_OUTAGE_MS;
    return until > now ? until : undefined;
  }

  #turn(): void {
    if (this.#isClosed) return;
    const { clock, paceMs = 0 } = this.#options;
    const startedAt = clock.now();
    this.#read()
      .then(() => {
        const restMs = startedAt + paceMs - clock.now();
        if (restMs <= 0) this.#turn();
        else clock.schedule(restMs, () => this.#turn());
      })
      .catch((error: unknown) => this.#fail(error));
  }

  async #read(): Promise<void> {
    const { store, prefix, mirror, tell } = this.#options;
    const patienceMs = this.#failures % 3 === 2 ? LONG_PATIENCE_MS : PATIENCE_MS;
    const since = this.#isHistoryGone ? undefined : mirror.asOf;
    const waitMs = this.#failures > 0 ? PROBE_MS : WATCH_MS;
    const { records, revision } =
      since === undefined
        ? await store.readAll(prefix, patienceMs)
        : await store.watch(prefix, since, waitMs, patienceMs);
    this.#succeed();
    this.#isHistoryGone = false;
    tell({ since, records, asOf: revision }, this.returnUntil());
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
    if (error instanceof StoreError && error.isHistoryGone) this.#isHistoryGone = true;
    this.#failures += 1;
    if (this.#failures === 1) log('storeDown', { prefix, error: String(error) });
    clock.schedule(RETRY_MS * (0.5 + random()), () => this.#turn());
  }
}
