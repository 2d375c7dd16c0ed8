import { eraOf } from './position.ts';

/** The latest state of a record in the store; removed if it has no `value`. */
export type MirroredRecord = {
  readonly key: string;
  readonly value?: Uint8Array | undefined;
  /** The store's position at the last change of the record; see `positionOf`. */
  readonly revision: number;
};

/** Records as of a revision: a full snapshot, or the changes after `since`. */
export type MirrorUpdate = {
  readonly since: number | undefined;
  readonly records: readonly MirroredRecord[];
  readonly asOf: number;
};

/** Removals to keep, so that mirrors that are behind receive them as changes. */
const MAX_TOMBSTONES = 500;

function latestOfEachKey(records: readonly MirroredRecord[]): readonly MirroredRecord[] {
  const latest = new Map<string, MirroredRecord>();
  records.forEach((record) => {
    if (record.revision >= (latest.get(record.key)?.revision ?? 0)) latest.set(record.key, record);
  });
  return [...latest.values()];
}

/**
 * A mirror of the store's records under one key prefix, as of one revision.
 *
 * The store numbers all changes with a single revision counter. Mirrors of different processes can thus
 * be compared, and one that is behind can be updated from another. A mirror never goes back to an older
 * revision. Revisions are positions (`positionOf`), so that each one of a later era is newer, and a mirror of
 * an earlier era gets a full snapshot.
 */
export class RecordMirror {
  readonly #records = new Map<string, MirroredRecord>();

  readonly #tombstones = new Map<string, MirroredRecord>();

  #asOf: number | undefined;

  /** All changes after this revision are available, removals included. */
  #historyStart = Infinity;

  /** The revision of the mirror; `undefined` before the first update. */
  get asOf(): number | undefined {
    return this.#asOf;
  }

  /** The records, without removed ones. */
  get records(): readonly MirroredRecord[] {
    return [...this.#records.values()];
  }

  /**
   * Applies an update from the store or from another mirror.
   *
   * @returns The records that changed, removed ones included; `undefined` if the update is not newer than
   * the mirror, or if changes between the two are missing.
   */
  apply(update: MirrorUpdate): readonly MirroredRecord[] | undefined {
    if (this.#asOf !== undefined && update.asOf <= this.#asOf) return undefined;
    if (update.since !== undefined && (this.#asOf === undefined || update.since > this.#asOf)) {
      return undefined;
    }
    // Changes after a position of an earlier era would miss what the store has lost.
    if (update.since !== undefined && eraOf(update.since) < eraOf(update.asOf)) return undefined;
    const changed = latestOfEachKey(update.records).filter((record) => this.#isNewer(record));
    const removed = update.since === undefined ? this.#removalsIn(update) : [];
    if (update.since === undefined) {
      this.#historyStart = update.asOf;
      this.#tombstones.clear();
    }
    [...changed, ...removed].forEach((record) => this.#put(record));
    this.#asOf = update.asOf;
    return [...changed, ...removed];
  }

  /** Returns the update for a mirror as of `revision`; `undefined` if it is up to date. */
  updateSince(revision: number | undefined): MirrorUpdate | undefined {
    if (this.#asOf === undefined || (revision !== undefined && revision >= this.#asOf)) {
      return undefined;
    }
    if (revision === undefined || revision < this.#historyStart) {
      return { since: undefined, records: this.records, asOf: this.#asOf };
    }
    const records = [...this.#records.values(), ...this.#tombstones.values()].filter(
      (record) => record.revision > revision,
    );
    return { since: revision, records, asOf: this.#asOf };
  }

  #isNewer(record: MirroredRecord): boolean {
    const known = this.#records.get(record.key) ?? this.#tombstones.get(record.key);
    return known === undefined || record.revision > known.revision;
  }

  #removalsIn(update: MirrorUpdate): readonly MirroredRecord[] {
    const kept = new Set(update.records.map(({ key }) => key));
    return [...this.#records.keys()]
      .filter((key) => !kept.has(key))
      .map((key) => ({ key, revision: update.asOf }));
  }

  #put(record: MirroredRecord): void {
    this.#tombstones.delete(record.key);
    if (record.value !== undefined) {
      this.#records.set(record.key, record);
      return;
    }
    this.#records.delete(record.key);
    this.#tombstones.set(record.key, record);
    const [oldest] = this.#tombstones.values();
    if (this.#tombstones.size <= MAX_TOMBSTONES || oldest === undefined) return;
    this.#tombstones.delete(oldest.key);
    this.#historyStart = Math.max(this.#historyStart, oldest.revision);
  }
}
