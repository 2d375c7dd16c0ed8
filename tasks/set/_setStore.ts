import {
  buildSet,
  differenceName,
  formatManifest,
  HEAD_NAME,
  manifestName,
  unpackSet,
} from '../../core/set/mod.ts';
import type {
  BuiltSet,
  Holding,
  PublishedSet,
  ReadValue,
  Scope,
  SetHead,
  UnreadableValue,
} from '../../core/set/mod.ts';

const DIFFERENCES_KEPT = 64;

const DIFFERENCE_PREFIX = differenceName('');

const PART_PREFIX = 'parts/';

/** A set that has been read and not yet put into force. */
export type ReadSet = {
  readonly kind: 'read';
  readonly head: SetHead;
  readonly holding: Holding;
  readonly differences: ReadonlyMap<string, string>;
};

/** Holds the parts of the set in force and recent differences, and gives them to peers. */
export class SetStore {
  readonly #scope: Scope;

  readonly #differences = new Map<string, string>();

  #head: SetHead | undefined;

  #built: BuiltSet | undefined;

  constructor(scope: Scope) {
    this.#scope = scope;
  }

  /** Reads the set that a head names from a source. */
  async read(head: SetHead, source: ReadValue): Promise<ReadSet | UnreadableValue> {
    const differences = new Map<string, string>();
    const noting: ReadValue = async (name) => {
      const text = await source(name);
      if (text !== undefined && name.startsWith(DIFFERENCE_PREFIX)) differences.set(name, text);
      return text;
    };
    const holding = await unpackSet(head, noting, this.#scope, this.#built?.holding);
    return 'kind' in holding ? holding : { kind: 'read', head, holding, differences };
  }

  /** Puts a set into force. */
  take({ head, holding, differences }: ReadSet): PublishedSet {
    const set = buildSet(holding, head.generation, this.#built);
    this.#head = head;
    this.#built = { set, holding };
    differences.forEach((text, name) => {
      this.#differences.delete(name);
      this.#differences.set(name, text);
    });
    [...this.#differences.keys()]
      .slice(0, Math.max(0, this.#differences.size - DIFFERENCES_KEPT))
      .forEach((name) => this.#differences.delete(name));
    return set;
  }

  /** Returns a value of the set in force by the name that the configuration service gives it. */
  find(name: string): string | undefined {
    const head = this.#head;
    const holding = this.#built?.holding;
    if (head === undefined || holding === undefined) return undefined;
    if (name === HEAD_NAME) return JSON.stringify(head);
    if (name === manifestName(head.digest)) return formatManifest(holding.manifest);
    if (name.startsWith(PART_PREFIX)) return holding.texts.get(name.slice(PART_PREFIX.length));
    return this.#differences.get(name);
  }
}
