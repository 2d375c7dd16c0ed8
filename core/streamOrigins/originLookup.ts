import type { Milliseconds } from '../clock/mod.ts';
import type { StreamKey } from './streamOrigin.ts';

/** A question where a stream began. */
export type OriginQuery = StreamKey & { readonly number: number };

/** The answer to a question; `version` is absent if the process that was asked does not know. */
export type OriginAnswer = { readonly number: number; readonly version?: string | undefined };

/** Options of `OriginLookup`. */
export type OriginLookupOptions = {
  /** Returns the other processes that may know where a stream began. */
  readonly holdersOf: (key: StreamKey) => readonly string[];
  readonly ask: (holder: string, query: OriginQuery) => void;
  /** Called once for each question, with the version if anybody knows it. */
  readonly onResult: (key: StreamKey, version: string | undefined) => void;
};

/** Time after which a question without an answer counts as answered by nobody. */
const TIMEOUT_MS: Milliseconds = 500;

/** Time after the start of the process in which it may not know all others. */
const SETTLING_MS: Milliseconds = 1500;

/** Answers that show in this time that nobody knows; later those of all holders do. */
const MIN_ANSWERS_WHILE_SETTLING = 3;

type Pending = {
  readonly query: OriginQuery;
  readonly askedAt: Milliseconds;
  readonly asked: Set<string>;
  readonly ignorant: Set<string>;
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
      ignorant: new Set(),
    });
    this.#proceed(query.number, now);
  }

  /** Returns the questions to a process that it has not answered, to send them again on a new link. */
  unansweredBy(holder: string): readonly OriginQuery[] {
    return [...this.#pending.values()]
      .filter(({ asked, ignorant }) => asked.has(holder) && !ignorant.has(holder))
      .map(({ query }) => query);
  }

  /** Applies the answer of a process. */
  applyAnswer(holder: string, answer: OriginAnswer, now: Milliseconds): void {
    const pending = this.#pending.get(answer.number);
    if (pending === undefined || !pending.asked.has(holder)) return;
    if (answer.version !== undefined) {
      this.#finish(pending, answer.version);
      return;
    }
    pending.ignorant.add(holder);
    this.#proceed(answer.number, now);
  }

  /** Asks processes that have become known, and ends questions that wait too long. Call it several times a second. */
  tick(now: Milliseconds): void {
    [...this.#pending.keys()].forEach((number) => this.#proceed(number, now));
  }

  #proceed(number: number, now: Milliseconds): void {
    const pending = this.#pending.get(number);
    if (pending === undefined) return;
    const { query, askedAt, asked, ignorant } = pending;
    this.#options
      .holdersOf(query)
      .filter((holder) => !asked.has(holder))
      .forEach((holder) => {
        asked.add(holder);
        this.#options.ask(holder, query);
      });
    const isSettled = now - this.#startedAt > SETTLING_MS;
    const minAnswers = isSettled ? 0 : MIN_ANSWERS_WHILE_SETTLING;
    const haveAllAnswered = asked.size === ignorant.size && ignorant.size >= minAnswers;
    if (haveAllAnswered || now - askedAt >= TIMEOUT_MS) {
      this.#finish(pending, undefined);
    }
  }

  #finish({ query }: Pending, version: string | undefined): void {
    if (this.#pending.delete(query.number)) this.#options.onResult(query, version);
  }
}
