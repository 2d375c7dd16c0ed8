import type { SetStamp } from '../link/mod.ts';
import { splitLines } from './_buckets.ts';
import type { SetParts } from './setParts.ts';
import type {
  Adapter,
  BackendServer,
  Caller,
  Objective,
  ObjectKind,
  Operator,
  Pool,
  Route,
  Service,
  SetObject,
  TenantLimit,
} from './objects.ts';
import { PackedTable } from './packedTable.ts';
import { packParts } from './packSet.ts';

/** Read-only table of the objects of one kind by name. */
export type SetTable<T> = {
  readonly size: number;
  readonly get: (name: string) => T | undefined;
  readonly has: (name: string) => boolean;
  readonly keys: () => IterableIterator<string>;
  readonly values: () => IterableIterator<T>;
};

/** A valid set, indexed for lookups. */
export type PublishedSet = {
  /** Version number, which increases with each published set. */
  readonly generation: number;
  /** Identifies the content: SHA-256 of the manifest, in hexadecimal. */
  readonly digest: string;
  /** Callers by the SHA-256 of their bearer token. */
  readonly callersByToken: ReadonlyMap<string, Caller>;
  readonly pools: ReadonlyMap<string, Pool>;
  readonly adapters: SetTable<Adapter>;
  readonly routes: SetTable<Route>;
  readonly services: ReadonlyMap<string, Service>;
  readonly backendServers: ReadonlyMap<string, BackendServer>;
  readonly limits: ReadonlyMap<string, TenantLimit>;
  readonly objectives: readonly Objective[];
  /** Operators by the SHA-256 of their bearer token. */
  readonly operatorsByToken: ReadonlyMap<string, Operator>;
};

/** A set with the parts from which it was built. */
export type BuiltSet = { readonly set: PublishedSet; readonly setParts: SetParts };

function partDigests(setParts: SetParts, kind: ObjectKind): readonly string[] {
  return setParts.manifest.filter((part) => part.kind === kind).map(({ digest }) => digest);
}

function partTexts(setParts: SetParts, kind: ObjectKind): readonly string[] {
  return partDigests(setParts, kind).flatMap((digest) => setParts.texts.get(digest) ?? []);
}

function parseObjects<T extends SetObject>(setParts: SetParts, kind: T['kind']): readonly T[] {
  return partTexts(setParts, kind).flatMap((text) =>
    splitLines(text).map((line) => JSON.parse(line) as T),
  );
}

function mapByName<T extends SetObject>(
  setParts: SetParts,
  kind: T['kind'],
): ReadonlyMap<string, T> {
  return new Map(parseObjects<T>(setParts, kind).map((object) => [object.name, object]));
}

/**
 * Builds an indexed set from the parts that a process holds; kinds that are not held are empty.
 *
 * @param setParts The parts.
 * @param generation The set's generation.
 * @param previous The previous set, whose tables are reused where their parts did not change.
 */
export function buildSet(
  setParts: SetParts,
  generation: number,
  previous?: BuiltSet,
): PublishedSet {
  const isUnchanged = (kind: ObjectKind): boolean =>
    previous !== undefined &&
    partDigests(previous.setParts, kind).join() === partDigests(setParts, kind).join();
  const reuseOrBuild = <T>(kind: ObjectKind, oldTable: T | undefined, build: () => T): T =>
    oldTable !== undefined && isUnchanged(kind) ? oldTable : build();
  const old = previous?.set;
  return {
    generation,
    digest: setParts.digest,
    callersByToken: reuseOrBuild('caller', old?.callersByToken, () => {
      const callers = parseObjects<Caller>(setParts, 'caller');
      return new Map(callers.map((caller) => [caller.tokenSha256, caller]));
    }),
    pools: reuseOrBuild('pool', old?.pools, () => mapByName<Pool>(setParts, 'pool')),
    adapters: new PackedTable<Adapter>('adapter', partTexts(setParts, 'adapter')),
    routes: new PackedTable<Route>('route', partTexts(setParts, 'route')),
    services: reuseOrBuild('service', old?.services, () => mapByName<Service>(setParts, 'service')),
    backendServers: reuseOrBuild('backend_server', old?.backendServers, () =>
      mapByName<BackendServer>(setParts, 'backend_server'),
    ),
    limits: reuseOrBuild('limit', old?.limits, () => mapByName<TenantLimit>(setParts, 'limit')),
    objectives: reuseOrBuild('objective', old?.objectives, () =>
      parseObjects<Objective>(setParts, 'objective'),
    ),
    operatorsByToken: reuseOrBuild('operator', old?.operatorsByToken, () => {
      const operators = parseObjects<Operator>(setParts, 'operator');
      return new Map(operators.map((operator) => [operator.tokenSha256, operator]));
    }),
  };
}

/**
 * Indexes the objects of a valid set.
 *
 * @param objects All objects of the set.
 * @param stamp The set's generation and digest.
 */
export function indexSet(objects: readonly SetObject[], stamp: SetStamp): PublishedSet {
  return { ...buildSet(packParts(objects), stamp.generation), digest: stamp.digest };
}
