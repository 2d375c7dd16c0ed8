/** Options of `FactMap`. */
export type FactMapOptions = {
  /** Facts that are kept, at most; the oldest yield. */
  readonly maxFacts: number;
  /** Called after each change that other processes should learn. */
  readonly onChange: () => void;
};

/**
 * Facts by key, each with the number of its latest change, so that a process that knows all changes up to
 * some number can be told the rest.
 */
export class FactMap<Fact> {
  readonly #options: FactMapOptions;

  readonly #facts = new Map<string, { readonly fact: Fact; change: number }>();

  #change = 0;

  constructor(options: FactMapOptions) {
    this.#options = options;
  }

  /** Number of the latest change. */
  get change(): number {
    return this.#change;
  }

  /** Number of facts. */
  get size(): number {
    return this.#facts.size;
  }

  /** All facts by key, the earliest set first. */
  get entries(): readonly (readonly [string, Fact])[] {
    return [...this.#facts].map(([key, { fact }]) => [key, fact]);
  }

  /** Returns a fact; `undefined` if there is none. */
  get(key: string): Fact | undefined {
    return this.#facts.get(key)?.fact;
  }

  /** Sets a fact that the other processes should learn. */
  set(key: string, fact: Fact): void {
    this.#facts.delete(key);
    this.#facts.set(key, { fact, change: 0 });
    const [oldest] = this.#facts.keys();
    if (oldest !== undefined && this.#facts.size > this.#options.maxFacts) {
      this.#facts.delete(oldest);
    }
    this.announce(key);
  }

  /** Tells the other processes a fact again. */
  announce(key: string): void {
    const known = this.#facts.get(key);
    if (known === undefined) return;
    this.#change += 1;
    known.change = this.#change;
    this.#options.onChange();
  }

  /** Forgets a fact; the other processes are not told. */
  delete(key: string): void {
    this.#facts.delete(key);
  }

  /** Returns the facts that have changed after a change number, or `undefined` if none has. */
  changedSince(change: number): readonly (readonly [string, Fact])[] | undefined {
    if (change >= this.#change) return undefined;
    return [...this.#facts]
      .filter(([, known]) => known.change > change)
      .map(([key, { fact }]) => [key, fact]);
  }
}
