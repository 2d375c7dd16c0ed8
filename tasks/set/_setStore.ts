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
  SetParts,
  PublishedSet,
  ReadValue,
  KindScope,
  SetHead,
  UnreadableValue,
} from '../../core/set/mod.ts';

/** Number of recent differences kept for peers that are behind. */
const MAX_STORED_DIFFERENCES = 64;

const DIFFERENCE_PREFIX = differenceName('');

const PART_PREFIX = 'parts/';

/** A set that has been read but is not in force yet. */
export type UnpackedSet = {
  readonly kind: 'read';
  readonly head: SetHead;
  readonly setParts: SetParts;
  readonly differences: ReadonlyMap<string, string>;
};

/** Stores the parts of the set in force and recent differences, for lookups and for peers. */
export class SetStore {
  readonly #scope: KindScope;

  readonly #differences = new Map<string, string>();

  #head: SetHead | undefined;

  #built: BuiltSet | undefined;

  constructor(scope: KindScope) {
    this.#scope = scope;
  }

  /** Reads the set to which a head refers, reusing the parts already held. */
  async read(head: SetHead, readValue: ReadValue): Promise<UnpackedSet | UnreadableValue> {
    const differences = new Map<string, string>();
    const readAndRecord: ReadValue = async (name) => {
      const text = await readValue(name);
      if (text !== undefined && name.startsWith(DIFFERENCE_PREFIX)) differences.set(name, text);
      return text;
    };
    const setParts = await unpackSet(head, readAndRecord, this.#scope, this.#built?.setParts);
    return 'kind' in setParts ? setParts : { kind: 'read', head, setParts, differences };
  }

  /** Puts a set into force in place of the previous one. */
  activate({ head, setParts, differences }: UnpackedSet): PublishedSet {
    const set = buildSet(setParts, head.generation, this.#built);
    this.#head = head;
    this.#built = { set, setParts };
    differences.forEach((text, name) => {
      this.#differences.delete(name);
      this.#differences.set(name, text);
    });
    [...this.#differences.keys()]
      .slice(0, Math.max(0, this.#differences.size - MAX_STORED_DIFFERENCES))
      .forEach((name) => this.#differences.delete(name));
    return set;
  }

  /** Returns a value of the set in force by its name in the configuration service. */
  findValue(name: string): string | undefined {
    const head = this.#head;
    const setParts = this.#built?.setParts;
    if (head === undefined || setParts === undefined) return undefined;
    if (name === HEAD_NAME) return JSON.stringify(head);
    if (name === manifestName(head.digest)) return formatManifest(setParts.manifest);
    if (name.startsWith(PART_PREFIX)) return setParts.texts.get(name.slice(PART_PREFIX.length));
    return this.#differences.get(name);
  }
}
