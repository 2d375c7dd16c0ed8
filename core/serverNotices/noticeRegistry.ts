import type { Milliseconds } from '../clock/mod.ts';
import { FactMap } from '../sharedFacts/mod.ts';
import type { NoticeRecord, ServerStart } from './noticeRecord.ts';

/** How this process learned of a notice: from an answer, from a published record or from another process. */
export type NoticeSource = 'answer' | 'record' | 'peer';

/** Options of `NoticeRegistry`. */
export type NoticeRegistryOptions = {
  /** Called when a server is first known to leave. */
  readonly onLeaving: (server: string, source: NoticeSource) => void;
  /** Called when a server asks for a pause, or for a longer one. */
  readonly onPause: (server: string, pauseMs: Milliseconds, source: NoticeSource) => void;
  /** Called after each change that other processes should learn. */
  readonly onChange: () => void;
};

/** Longest pause; a server that asks for more is not expected to mean it. */
const MAX_PAUSE_MS: Milliseconds = 86_400_000;

/** Difference of two ends of a pause that other processes are not told: messages take time. */
const PAUSE_TOLERANCE_MS: Milliseconds = 250;

/** Time after which the request that tests the end of a pause is given up. */
const TRIAL_TIMEOUT_MS: Milliseconds = 1000;

/** Notices that are kept. */
const MAX_NOTICES = 16_384;

/** Time for which a notice of a server that is no longer listed is kept, since it may be listed again. */
const UNLISTED_MAX_AGE_MS: Milliseconds = 600_000;

type Notice = {
  readonly bornAt: Milliseconds;
  isLeaving: boolean;
  /** When the pause ends; -Infinity without one. */
  pausedUntil: Milliseconds;
  /** Whether no request has been answered since the pause; kept by each process for itself. */
  isUntested: boolean;
  /** When the request that tests the end of the pause was sent; kept by each process for itself. */
  trialSentAt: Milliseconds;
  /** When the notice last changed. */
  changedAt: Milliseconds;
};

/**
 * What servers say of themselves to any of the processes: that they leave, or that they want no requests
 * for some time.
 *
 * A notice belongs to one start of a server and ends with it. That a server leaves is never taken back,
 * and of several pauses the last end counts. So notices may arrive in any order, and more than once. After
 * a pause one request tests whether the server takes requests again.
 */
export class NoticeRegistry {
  readonly #options: NoticeRegistryOptions;

  readonly #notices: FactMap<Notice>;

  constructor(options: NoticeRegistryOptions) {
    this.#options = options;
    this.#notices = new FactMap({ maxFacts: MAX_NOTICES, onChange: options.onChange });
  }

  /** Number of the latest change; see `updateSince`. */
  get change(): number {
    return this.#notices.change;
  }

  /** Number of servers that are known to leave. */
  get leavingCount(): number {
    return this.#notices.entries.filter(([, { isLeaving }]) => isLeaving).length;
  }

  /** Records that a server leaves. */
  noteLeaving(server: ServerStart, source: NoticeSource, now: Milliseconds): void {
    this.#merge(server, { isLeaving: true, pausedUntil: -Infinity }, source, now);
  }

  /** Records that a server asks for no further requests for some time. */
  notePause(server: ServerStart, pauseMs: Milliseconds, now: Milliseconds): void {
    const pausedUntil = now + Math.min(pauseMs, MAX_PAUSE_MS);
    this.#merge(server, { isLeaving: false, pausedUntil }, 'answer', now);
  }

  /** Records that a request was sent to a server. */
  noteSent(server: ServerStart, now: Milliseconds): void {
    const notice = this.#noticeOf(server);
    if (notice?.isUntested === true) notice.trialSentAt = now;
  }

  /**
   * Records an answer that asks for no pause.
   *
   * @param sentAt When the request was sent.
   */
  noteAnswer(server: ServerStart, sentAt: Milliseconds): void {
    const notice = this.#noticeOf(server);
    if (notice !== undefined && sentAt >= notice.pausedUntil) notice.isUntested = false;
  }

  /** Whether a server leaves. */
  isLeaving(server: ServerStart): boolean {
    return this.#noticeOf(server)?.isLeaving === true;
  }

  /**
   * Time until a server may be sent a request, as far as its pause is concerned; 0 for a request that tests
   * the end of the pause.
   */
  pauseLeftMs(server: ServerStart, now: Milliseconds): Milliseconds {
    const notice = this.#noticeOf(server);
    if (notice === undefined || !notice.isUntested) return 0;
    return Math.max(0, notice.pausedUntil - now, notice.trialSentAt + TRIAL_TIMEOUT_MS - now);
  }

  /** Returns what has changed after a change number, or `undefined` if nothing has. */
  updateSince(change: number, now: Milliseconds): readonly NoticeRecord[] | undefined {
    return this.#notices.changedSince(change)?.map(([id, { bornAt, isLeaving, pausedUntil }]) => ({
      id,
      bornAt,
      isLeaving,
      pauseLeftMs: Math.max(0, pausedUntil - now),
    }));
  }

  /** Applies what another process has sent. */
  applyUpdate(records: readonly NoticeRecord[], now: Milliseconds): void {
    records.forEach((record) => {
      const { isLeaving, pauseLeftMs } = record;
      const pausedUntil = pauseLeftMs > 0 ? now + Math.min(pauseLeftMs, MAX_PAUSE_MS) : -Infinity;
      this.#merge(record, { isLeaving, pausedUntil }, 'peer', now);
    });
  }

  /** Forgets the notices of servers that have not been listed for long. */
  tick(isListed: (id: string) => boolean, now: Milliseconds): void {
    this.#notices.entries.forEach(([id, { changedAt }]) => {
      if (now - changedAt > UNLISTED_MAX_AGE_MS && !isListed(id)) this.#notices.delete(id);
    });
  }

  /** The notice of this start of a server, or of a later one that this process has not heard of yet. */
  #noticeOf({ id, bornAt }: ServerStart): Notice | undefined {
    const notice = this.#notices.get(id);
    return notice !== undefined && notice.bornAt >= bornAt ? notice : undefined;
  }

  #merge(
    { id, bornAt }: ServerStart,
    said: Pick<Notice, 'isLeaving' | 'pausedUntil'>,
    source: NoticeSource,
    now: Milliseconds,
  ): void {
    const known = this.#notices.get(id);
    const isPause = said.pausedUntil > now;
    if ((known !== undefined && bornAt < known.bornAt) || !(said.isLeaving || isPause)) return;
    const notice = known?.bornAt === bornAt ? known : this.#begin(id, bornAt);
    const isNewlyLeaving = said.isLeaving && !notice.isLeaving;
    const isLonger = said.pausedUntil > Math.max(notice.pausedUntil, now) + PAUSE_TOLERANCE_MS;
    if (said.isLeaving) notice.isLeaving = true;
    if (said.pausedUntil > notice.pausedUntil) {
      notice.pausedUntil = said.pausedUntil;
      notice.isUntested = true;
    }
    if (!isNewlyLeaving && !isLonger) return;
    notice.changedAt = now;
    this.#notices.announce(id);
    if (isNewlyLeaving) this.#options.onLeaving(id, source);
    if (isLonger) this.#options.onPause(id, said.pausedUntil - now, source);
  }

  /** Begins the notice of a start of a server; that of an earlier start ends. */
  #begin(id: string, bornAt: Milliseconds): Notice {
    const notice: Notice = {
      bornAt,
      isLeaving: false,
      pausedUntil: -Infinity,
      isUntested: false,
      trialSentAt: -Infinity,
      changedAt: -Infinity,
    };
    this.#notices.set(id, notice);
    return notice;
  }
}
