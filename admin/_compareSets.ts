import { compareByName } from '../core/set/mod.ts';
import type { PublishedSet, SetObject } from '../core/set/mod.ts';

/** The differences in objects of one kind. */
export type KindDifference = {
  readonly added: number;
  readonly changed: number;
  readonly removed: number;
  /** Names of the first differing objects, prefixed with `+`, `~` or `-`. */
  readonly names: readonly string[];
};

const MAX_NAMES = 50;

const TABLE_BY_KIND = {
  pool: 'pools',
  adapter: 'adapters',
  route: 'routes',
  service: 'services',
  backend_server: 'backendServers',
  limit: 'limits',
} as const;

type ComparedKind = keyof typeof TABLE_BY_KIND;

type Table = { readonly values: () => Iterable<SetObject> };

function byName(table: Table | undefined): ReadonlyMap<string, SetObject> {
  const objects = table === undefined ? [] : [...table.values()];
  return new Map(objects.map((object) => [object.name, object]));
}

function compareTables(old: Table | undefined, proposed: Table): KindDifference {
  const { added, changed, removed } = compareByName(byName(old), byName(proposed));
  const names = [
    ...added.map((name) => `+${name}`),
    ...changed.map((name) => `~${name}`),
    ...removed.map((name) => `-${name}`),
  ];
  return {
    added: added.length,
    changed: changed.length,
    removed: removed.length,
    names: names.slice(0, MAX_NAMES),
  };
}

/**
 * Compares a proposed set with the set in force.
 *
 * @param before The set in force.
 * @param after The proposed set.
 * @returns The differences by kind, for the kinds of objects that affect routing and limits.
 */
export function compareSets(
  before: PublishedSet | undefined,
  after: PublishedSet,
): Readonly<Record<ComparedKind, KindDifference>> {
  const kinds = Object.keys(TABLE_BY_KIND) as ComparedKind[];
  const differences = kinds.map(
    (kind) =>
      [kind, compareTables(before?.[TABLE_BY_KIND[kind]], after[TABLE_BY_KIND[kind]])] as const,
  );
  return Object.fromEntries(differences) as Record<ComparedKind, KindDifference>;
}
