import { compareByName } from '../core/set/mod.ts';
import type { PublishedSet, SetObject } from '../core/set/mod.ts';

/** How one kind of object differs. */
export type KindDifference = {
  readonly added: number;
  readonly changed: number;
  readonly removed: number;
  /** Some of the names, each with `+`, `~` or `-` before it. */
  readonly names: readonly string[];
};

const MOST_NAMES = 50;

const TABLES = {
  pool: 'pools',
  adapter: 'adapters',
  route: 'routes',
  service: 'services',
  backend_server: 'backendServers',
  limit: 'limits',
} as const;

type ComparedKind = keyof typeof TABLES;

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
    names: names.slice(0, MOST_NAMES),
  };
}

/**
 * Compares a proposed set with the one in force.
 *
 * @param before The set in force.
 * @param after The proposed set.
 * @returns The differences by kind of object, for the kinds by which requests are placed.
 */
export function compareSets(
  before: PublishedSet | undefined,
  after: PublishedSet,
): Readonly<Record<ComparedKind, KindDifference>> {
  const kinds = Object.keys(TABLES) as ComparedKind[];
  const differences = kinds.map(
    (kind) => [kind, compareTables(before?.[TABLES[kind]], after[TABLES[kind]])] as const,
  );
  return Object.fromEntries(differences) as Record<ComparedKind, KindDifference>;
}
