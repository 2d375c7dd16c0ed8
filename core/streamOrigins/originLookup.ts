import type { Milliseconds } from '../clock/mod.ts';
import type { StreamKey } from './streamOrigin.ts';
import type { VersionSummary } from './versionHistory.ts';

/** A question where a stream began. */
export type OriginQuery = StreamKey & { readonly number: number };

/** The answer to a question. */
export type OriginAnswer = {
  readonly number: number;
  /** Absent if the process that was asked does not know. */
  readonly version?: string | undefined;
  /** What the process has seen of the service; absent from one that does not watch it. */
  readonly seen?: VersionSummary | undefined;
};

/** What other processes have answered to a question. */
export type OriginResult = {
  /** The version at which the stream began, if anybody knows it. */
  readonly version: string | undefined;
  /** What processes that do not know it have seen of the service. */
  readonly seen: readonly VersionSummary[];
  /**
   * Whether most of the processes that were asked and watch the servers have answered; also if there are
   * none. The others cannot know of a version that is new.
   */
  readonly hasMajority: boolean;
};

/** Options of `OriginLookup`. */
export type OriginLookupOptions = {
  /** Returns the other processes that may know where a stream began. */
  readonly holdersOf: (key: StreamKey) => readonly string[];
  readonly ask: (holder: string, query: OriginQuery) => void;
  /** Whether a process watches the servers of all versions. @default all do */
  readonly isWatcher?: (holder: string) => boolean;
  /** Returns the version that this process itself takes for the only one of the service, if any. */
  readonly onlyVersionOf: (key: StreamKey) => string | undefined;
  /** Called once for each question. */
  readonly onResult: (key: StreamKey, result: OriginResult) => void;
};

/** Time from the first version until the answers of the others that can be reached have arrived. */
const CONFIRMATION_MS: Milliseconds = 50;

/** Time after which a question without an answer counts as answered by nobody. */
const TIMEOUT_MS: Milliseconds = 500;

/**
 * Time after the start of the process in which it may not know all others, and in which their ignorance
 * proves nothing.
 */
const SETTLING_MS: Milliseconds = 1500;

type Pending = {
  readonly query: OriginQuery;
  readonly askedAt: Milliseconds;
  readonly asked: Set<string>;
  /** Those of the processes asked that watch the servers. */
  readonly watchers: Set<string>;
  /** What each process that does not know has seen of the service. */
  readonly ignorant: Map<string, VersionSummary | undefined>;
  /** Processes that know it. */
  readonly knowing: Set<string>;
  /** The versions that they know; several if streams of two versions bear one name. */
  readonly versions: Set<string>;
  firstKnownAt: Milliseconds | undefined;
};

/** Asks other processes where streams began. */
export class OriginLookup {
  readonly #options: OriginLookupOptions;

  readonly #pending = new Map<number, Pending>();

  readonly #startedAt: Milliseconds;

  #nextNumber = 0;

  constructor(options: OriginLookupOptions, now: Milliseconds) {
    this.#options = options;
    this.#startedAt = now;
  }

  /** Whether questions wait for answers. */
  get isActive(): boolean {
    return this.#pending.size > 0;
  }

  /** Asks where a stream began. */
  begin(key: StreamKey, now: Milliseconds): void {
    this.#nextNumber += 1;
    const { service, requestId } = key;
    const query = { service, requestId, number: this.#nextNumber };
    this.#pending.set(query.number, {
      query,
      askedAt: now,
      asked: new Set(),
      watchers: new Set(),
      ignorant: new Map(),
      knowing: new Set(),
      versions: new Set(),
      firstKnownAt: undefined,
    });
    this.#proceed(query.number, now);
  }

  /** Returns the questions to a process that it has not answered, to send them again on a new link. */
  unansweredBy(holder: string): readonly OriginQuery[] {
    return [...this.#pending.values()]
      .filter(
        ({ asked, ignorant, knowing }) =>
          asked.has(holder) && !ignorant.has(holder) && !knowing.has(holder),
      )
      .map(({ query }) => query);
  }

  /** Applies the answer of a process. */
  applyAnswer(holder: string, answer: OriginAnswer, now: Milliseconds): void {
    const pending = this.#pending.get(answer.number);
    if (pending === undefined || !pending.asked.has(holder)) return;
    if (answer.version !== undefined) {
      pending.knowing.add(holder);
      pending.versions.add(answer.version);
      pending.firstKnownAt ??= now;
    } else {
      pending.ignorant.set(holder, answer.seen);
    }
    this.#proceed(answer.number, now);
  }

  /** Asks processes that have become known, and ends questions that wait too long. Call it several times a second. */
  tick(now: Milliseconds): void {
    [...this.#pending.keys()].forEach((number) => this.#proceed(number, now));
  }

  #proceed(number: number, now: Milliseconds): void {
    const pending = this.#pending.get(number);
    if (pending === undefined) return;
    const { query, asked, watchers, ignorant, knowing } = pending;
    const { ask, holdersOf, isWatcher = () => true } = this.#options;
    holdersOf(query)
      .filter((holder) => !asked.has(holder))
      .forEach((holder) => {
        asked.add(holder);
        if (isWatcher(holder)) watchers.add(holder);
        ask(holder, query);
      });
    const haveAllAnswered = asked.size === ignorant.size + knowing.size;
    const isSettled =
      (haveAllAnswered && this.#isConclusive(pending, now)) || this.#isCorroborated(pending);
    if (isSettled || now >= this.#waitsUntil(pending)) this.#finish(pending);
  }

  /** Whether the only version that this process has seen is confirmed, so that no other can be right. */
  #isCorroborated({ query, versions }: Pending): boolean {
    const [version] = versions;
    return versions.size === 1 && version === this.#options.onlyVersionOf(query);
  }

  /** Returns when a question ends without the missing answers. */
  #waitsUntil({ askedAt, firstKnownAt }: Pending): Milliseconds {
    if (firstKnownAt !== undefined) return firstKnownAt + CONFIRMATION_MS;
    return Math.max(askedAt + TIMEOUT_MS, this.#startedAt + SETTLING_MS);
  }

  /** Whether the answers of all known processes settle a question, though there may be others. */
  #isConclusive({ knowing, ignorant }: Pending, now: Milliseconds): boolean {
    return (
      knowing.size > 0 ||
      now >= this.#startedAt + SETTLING_MS ||
      [...ignorant.values()].some((seen) => seen?.isComplete === true)
    );
  }

  #finish({ query, watchers, ignorant, knowing, versions }: Pending): void {
    if (!this.#pending.delete(query.number)) return;
    const isContradictory = versions.size > 1;
    const [version] = isContradictory ? [] : versions;
    const seen = [...ignorant.values()].filter((summary) => summary !== undefined);
    const answered = [...watchers].filter((each) => ignorant.has(each) || knowing.has(each)).length;
    const isMajority = watchers.size === 0 || answered > watchers.size / 2;
    const hasMajority = !isContradictory && isMajority;
    this.#options.onResult(query, { version, seen, hasMajority });
  }
}
