import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { eraOf } from '../../core/mirror/mod.ts';
import type { MirrorUpdate, RecordMirror } from '../../core/mirror/mod.ts';
import type { Log } from '../../log/mod.ts';
import { StoreError } from '../../platform/mod.ts';
import type { RecordBatch } from '../../platform/mod.ts';

/** The store operations that the task uses. */
export type RecordStore = {
  readonly readAll: (prefix: string, timeoutMs: Milliseconds) => Promise<RecordBatch>;
  readonly watch: (
    prefix: string,
    revision: number,
    waitMs: Milliseconds,
    responseTimeoutMs: Milliseconds,
  ) => Promise<RecordBatch>;
};

/** Options of `StoreTask`. */
export type StoreTaskOptions = {
  readonly store: RecordStore;
  readonly prefix: string;
  /** Mirror of the records; its revision is where the next watch starts. */
  readonly mirror: RecordMirror;
  readonly clock: Clock;
  readonly log: Log;
  /** Called with each update, and with the end of the grace period for removed records, if any. */
  readonly onUpdate: (update: MirrorUpdate, removalGraceUntil: Milliseconds | undefined) => void;
  /** Called when the mirror was the newest state at a moment: the time at which a call was sent. */
  readonly onConfirmed?: (at: Milliseconds) => void;
  /** Returns a random number from 0 to 1; adds jitter to the retries of many processes. */
  readonly random: () => number;
  /** Shortest time between the starts of two calls; batches changes to save calls. @default 0 */
  readonly minPollIntervalMs?: Milliseconds;
  /** Returns whether this process reads the store; call `resume` when it does again. @default true */
  readonly isReader?: () => boolean;
  /** Returns the time for which a watch call waits for changes. @default 1000 */
  readonly watchWaitMs?: () => Milliseconds;
};

/**
 * Time for which a watch call waits for changes. A dead connection is detected only afterwards, and a
 * change must take effect within two seconds.
 */
export const WATCH_WAIT_MS: Milliseconds = 1000;

/** Watch time after a failed call; short, so that the end of an outage is detected at once. */
const PROBE_WAIT_MS: Milliseconds = 1;

/** Mean delay of a retry after a failed call; short, since an outage may end at any moment. */
const RETRY_DELAY_MS: Milliseconds = 200;

/**
 * Response timeout of a call, beyond its watch time. The store responds within some milliseconds, or a
 * few hundred when it is slow; a partitioned connection never responds.
 */
const RESPONSE_TIMEOUT_MS: Milliseconds = 600;

/** Response timeout of every third call during failures, in case the store is slow. */
const LONG_RESPONSE_TIMEOUT_MS: Milliseconds = 2500;

/** Time beyond the watch time of a call after which the store no longer counts as current. */
const CURRENT_MARGIN_MS: Milliseconds = 300;

/** Time after an outage within which removed records may return. */
const REMOVAL_GRACE_MS: Milliseconds = 2000;

/** Keeps a mirror of all records under one key prefix up to date by long polling the store. */
export class StoreTask {
  readonly #options: StoreTaskOptions;

  /** Whether all records must be read, because the store has compacted the history for a watch. */
  #isHistoryGone = false;

  /** Consecutive failed calls; two or more count as an outage. */
  #failures = 0;

  #outageEndedAt = -Infinity;

  #isClosed = false;

  /** Whether no call is made, because other entries read the store. */
  #isPaused = false;

  /** Whether the next watch only asks for what has changed, since nothing was read for a while. */
  #isResuming = false;

  /** Whether the latest call has confirmed the mirror. */
  #isConfirmed = false;

  /** When the answer to the call in progress is overdue; infinite between calls. */
  #dueAt: Milliseconds = Infinity;

  constructor(options: StoreTaskOptions) {
    this.#options = options;
  }

  /** Starts polling. */
  start(): void {
    this.#poll();
  }

  /** Stops polling. */
  close(): void {
    this.#isClosed = true;
  }

  /**
   * When the grace period for removed records ends: during an outage, and for a while after it, removed
   * records may return. `undefined` at other times.
   */
  removalGraceUntil(): Milliseconds | undefined {
    const now = this.#options.clock.now();
    if (this.#failures > 1) return now + REMOVAL_GRACE_MS;
    const graceUntil = this.#outageEndedAt + REMOVAL_GRACE_MS;
    return graceUntil > now ? graceUntil : undefined;
  }

  /** Whether the store has confirmed the mirror with its latest answer, and no answer is overdue. */
  get isCurrent(): boolean {
    return !this.#isPaused && this.#isConfirmed && this.#options.clock.now() <= this.#dueAt;
  }

  /** Reads the store again at once, if this process had left that to others. */
  resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#isResuming = true;
    this.#poll();
  }

  #pause(): void {
    this.#isPaused = true;
    this.#isConfirmed = false;
    // Without calls, nothing else would end the outage.
    if (this.#failures > 1) this.#outageEndedAt = this.#options.clock.now();
    this.#failures = 0;
  }

  #poll(): void {
    if (this.#isClosed) return;
    const { clock, minPollIntervalMs = 0, isReader } = this.#options;
    if (isReader?.() === false) {
      this.#pause();
      return;
    }
    const startedAt = clock.now();
    this.#fetch()
      .then(() => {
        const remainingMs = startedAt + minPollIntervalMs - clock.now();
        if (remainingMs <= 0) this.#poll();
        else clock.schedule(remainingMs, () => this.#poll());
      })
      .catch((error: unknown) => this.#recordFailure(error));
  }

  async #fetch(): Promise<void> {
    const { store, prefix, mirror, clock, log, onUpdate, onConfirmed } = this.#options;
    const sentAt = clock.now();
    const timeoutMs = this.#failures % 3 === 2 ? LONG_RESPONSE_TIMEOUT_MS : RESPONSE_TIMEOUT_MS;
    const since = this.#isHistoryGone ? undefined : mirror.asOf;
    const isProbe = this.#failures > 0 || this.#isResuming;
    const waitMs = isProbe ? PROBE_WAIT_MS : (this.#options.watchWaitMs?.() ?? WATCH_WAIT_MS);
    this.#isResuming = false;
    this.#dueAt = sentAt + (since === undefined ? 0 : waitMs) + CURRENT_MARGIN_MS;
    const { records, revision } =
      since === undefined
        ? await store.readAll(prefix, timeoutMs)
        : await store.watch(prefix, since, waitMs, timeoutMs);
    this.#recordSuccess();
    this.#isHistoryGone = false;
    // What the store has lost by coming back from an older copy may be written again.
    if (eraOf(revision) > eraOf(mirror.asOf ?? revision)) this.#outageEndedAt = clock.now();
    try {
      onUpdate({ since, records, asOf: revision }, this.removalGraceUntil());
    } catch (error) {
      // An error of this process says nothing about the store.
      log('internalError', { task: 'store', error: String(error) });
    }
    // An answer that is older than the mirror proves nothing.
    this.#dueAt = Infinity;
    this.#isConfirmed = mirror.asOf === revision;
    if (this.#isConfirmed) onConfirmed?.(sentAt);
  }

  #recordSuccess(): void {
    if (this.#failures === 0) return;
    const { clock, log, prefix } = this.#options;
    if (this.#failures > 1) this.#outageEndedAt = clock.now();
    log('storeBack', { prefix, failures: this.#failures });
    this.#failures = 0;
  }

  #recordFailure(error: unknown): void {
    const { clock, log, prefix, random } = this.#options;
    if (error instanceof StoreError && error.isHistoryGone) this.#isHistoryGone = true;
    this.#failures += 1;
    this.#isConfirmed = false;
    if (this.#failures === 1) log('storeDown', { prefix, error: String(error) });
    clock.schedule(RETRY_DELAY_MS * (0.5 + random()), () => this.#poll());
  }
}
