/** Names that were added, changed or removed between two collections of objects. */
export type NameDifference = {
  readonly added: readonly string[];
  readonly changed: readonly string[];
  readonly removed: readonly string[];
};

/**
 * Compares two collections of named objects; objects of the same name are equal if their JSON is.
 *
 * @param before The earlier objects, by name.
 * @param after The later objects, by name.
 */
export function compareByName(
  before: ReadonlyMap<string, unknown>,
  after: ReadonlyMap<string, unknown>,
): NameDifference {
  const isChanged = (name: string): boolean =>
    before.has(name) && JSON.stringify(before.get(name)) !== JSON.stringify(after.get(name));
  return {
    added: [...after.keys()].filter((name) => !before.has(name)),
    changed: [...after.keys()].filter(isChanged),
    removed: [...before.keys()].filter((name) => !after.has(name)),
  };
}
