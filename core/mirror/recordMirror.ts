/** One record as the store last had it; without `value`, it was removed. */
export type MirroredRecord = {
  readonly key: string;
  readonly value?: Uint8Array | undefined;
  /** The store's revision at its last change. */
  readonly revision: number;
};

/** Records as of a revision: all there are, or those that changed after `since`. */
export type MirrorNews = {
  readonly since: number | undefined;
  readonly records: readonly MirroredRecord[];
  readonly asOf: number;
};

/** Removals that are remembered, so that those behind hear of them. */
const REMEMBERED_REMOVALS = 500;

/**
 * A copy of the store's records under one prefix, as of one revision.
 *
 * The store counts all its changes with one revision, so copies of several processes can be compared
 * and the one that is behind can be brought forward by another; a copy never goes back.
 */
export class RecordMirror {
  readonly #records = new Map<string, MirroredRecord>();

  readonly #removals = new Map<string, MirroredRecord>();

  #asOf: number | undefined;

  /** Changes after this revision are all remembered. */
  #completeFrom = Infinity;

  /** The revision as of which the copy holds; `undefined` while there is none. */
  get asOf(): number | undefined {
    return this.#asOf;
  }

  /** The records that exist. */
  get records(): readonly MirroredRecord[] {
    return [...this.#records.values()];
  }

  /**
   * Takes news of the store or of another copy.
   *
   * @returns The records that changed by it, removed ones included; `undefined` when the news is not
   * newer than the copy, or when changes between the two are missing.
   */
  apply(news: MirrorNews): readonly MirroredRecord[] | undefined {
    if (this.#asOf !== undefined && news.asOf <= this.#asOf) return undefined;
    if (news.since !== undefined && (this.#asOf === undefined || news.since > this.#asOf)) {
      return undefined;
    }
    const changed = news.records.filter((record) => this.#isNew(record));
    const removed = news.since === undefined ? this.#missingFrom(news) : [];
    if (news.since === undefined) {
      this.#completeFrom = news.asOf;
      this.#removals.clear();
    }
    [...changed, ...removed].forEach((record) => this.#put(record));
    this.#asOf = news.asOf;
    return [...changed, ...removed];
  }

  /** Returns what a copy as of `revision` lacks; `undefined` when it lacks nothing. */
  newsSince(revision: number | undefined): MirrorNews | undefined {
    if (this.#asOf === undefined || (revision !== undefined && revision >= this.#asOf)) {
      return undefined;
    }
    if (revision === undefined || revision < this.#completeFrom) {
      return { since: undefined, records: this.records, asOf: this.#asOf };
    }
    const records = [...this.#records.values(), ...this.#removals.values()].filter(
      (record) => record.revision > revision,
    );
    return { since: revision, records, asOf: this.#asOf };
  }

  #isNew(record: MirroredRecord): boolean {
    const known = this.#records.get(record.key) ?? this.#removals.get(record.key);
    return known === undefined || record.revision > known.revision;
  }

  #missingFrom(news: MirrorNews): readonly MirroredRecord[] {
    const kept = new Set(news.records.map(({ key }) => key));
    return [...this.#records.keys()]
      .filter((key) => !kept.has(key))
      .map((key) => ({ key, revision: news.asOf }));
  }

  #put(record: MirroredRecord): void {
    this.#removals.delete(record.key);
    if (record.value !== undefined) {
      this.#records.set(record.key, record);
      return;
    }
    this.#records.delete(record.key);
    this.#removals.set(record.key, record);
    const [oldest] = this.#removals.values();
    if (this.#removals.size <= REMEMBERED_REMOVALS || oldest === undefined) return;
    this.#removals.delete(oldest.key);
    this.#completeFrom = Math.max(this.#completeFrom, oldest.revision);
  }
}
