import type { Milliseconds } from '../clock/mod.ts';
import { rendezvousOrder } from '../placement/mod.ts';

/** What a store reader says of itself; passed on through its availability zone. */
export type ReaderNotice = {
  /** Address of the reader. */
  readonly reader: string;
  /** Rises with each notice of the reader. */
  readonly number: number;
  /** False if the reader has lost the store. */
  readonly isReading: boolean;
};

/** Options of `StoreReaders`. */
export type StoreReadersOptions = {
  /** Address of this entry. */
  readonly self: string;
  readonly availabilityZone: string;
  /** Returns the addresses of the other live entries of the zone. */
  readonly mates: () => readonly string[];
  /**
   * Number of the first notice. It must exceed those of earlier processes at the address, since notices
   * that a paused process passes on late must not count again. @default 1
   */
  readonly firstNumber?: number;
};

/** Interval of a reader's notices. */
export const NOTICE_INTERVAL_MS: Milliseconds = 250;

/** Time without a notice after which the next entry in order reads: one notice may be late. */
const SUCCESSOR_SILENCE_MS: Milliseconds = 550;

/** Time without a notice after which every entry reads, in case the next one in order is gone as well. */
const READER_SILENCE_MS: Milliseconds = 800;

/** Time without a notice after which a reader is forgotten, with the number of its last notice. */
const READER_MEMORY_MS: Milliseconds = 20_000;

type KnownReader = {
  readonly number: number;
  readonly isReading: boolean;
  /** When the reader was last heard reading. */
  readonly readAt: Milliseconds;
  readonly heardAt: Milliseconds;
};

/**
 * Which entries of an availability zone read the store: the first in rendezvous order that reaches it.
 *
 * An entry reads unless it hears of a reader that precedes it in the order. So an entry that nobody tells
 * anything reads by itself, and two readers that hear each other become one. The decision needs no
 * agreement on the members of the zone; they only decide who steps in first.
 */
export class StoreReaders {
  readonly #options: StoreReadersOptions;

  readonly #known = new Map<string, KnownReader>();

  #nextNumber: number;

  constructor(options: StoreReadersOptions) {
    this.#options = options;
    this.#nextNumber = options.firstNumber ?? 1;
  }

  /** Records a notice; returns whether it should be passed on. */
  note({ reader, number, isReading }: ReaderNotice, now: Milliseconds): boolean {
    if (reader === this.#options.self) return false;
    this.#known.forEach(({ heardAt }, each) => {
      if (now - heardAt > READER_MEMORY_MS) this.#known.delete(each);
    });
    const known = this.#known.get(reader);
    if (known !== undefined && number <= known.number) return false;
    const readAt = isReading ? now : (known?.readAt ?? -Infinity);
    // Only the first reader in order is passed on, so that many readers at a start do not flood the zone.
    const first = this.#firstHeard(now);
    this.#known.set(reader, { number, isReading, readAt, heardAt: now });
    return first === undefined || first === reader || this.#precedes(reader, first);
  }

  /** Whether this entry must read the store. */
  isReader(now: Milliseconds): boolean {
    const preceding = [...this.#known].filter(([reader]) =>
      this.#precedes(reader, this.#options.self),
    );
    if (preceding.length === 0) return true;
    const recent = preceding.filter(([, { readAt }]) => now - readAt <= READER_SILENCE_MS);
    if (recent.length === 0) return true;
    const isHeard = recent.some(
      ([, { isReading, readAt }]) => isReading && now - readAt <= SUCCESSOR_SILENCE_MS,
    );
    return !isHeard && this.#isNextAfter(recent.map(([reader]) => reader));
  }

  /** Address of the reader that this entry hears, if any. */
  readerHeard(now: Milliseconds): string | undefined {
    return this.#firstHeard(now);
  }

  /** Returns the next notice of this entry, which reads. */
  nextNotice(isReading: boolean): ReaderNotice {
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    return { reader: this.#options.self, number, isReading };
  }

  #firstHeard(now: Milliseconds): string | undefined {
    const heard = [...this.#known]
      .filter(([, { isReading, readAt }]) => isReading && now - readAt <= READER_SILENCE_MS)
      .map(([reader]) => reader);
    return rendezvousOrder(this.#options.availabilityZone, heard)[0];
  }

  #precedes(a: string, b: string): boolean {
    return a !== b && rendezvousOrder(this.#options.availabilityZone, [a, b])[0] === a;
  }

  /** Whether no live entry of the zone precedes this one, besides the readers that were lost. */
  #isNextAfter(lost: readonly string[]): boolean {
    return this.#options
      .mates()
      .filter((mate) => !lost.includes(mate))
      .every((mate) => !this.#precedes(mate, this.#options.self));
  }
}
