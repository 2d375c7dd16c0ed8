import type { SetStamp } from '../link/mod.ts';
import { splitLines } from './_buckets.ts';
import type { Holding } from './holding.ts';
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
import { holdObjects } from './packSet.ts';

/** Objects of one kind by name. */
export type SetTable<T> = {
  readonly size: number;
  readonly get: (name: string) => T | undefined;
  readonly has: (name: string) => boolean;
  readonly keys: () => IterableIterator<string>;
  readonly values: () => IterableIterator<T>;
};

/** A checked set in the form in which processes look names up. */
export type PublishedSet = {
  /** Grows by at least one with each published set. */
  readonly generation: number;
  /** SHA-256 over all objects, in hexadecimal. */
  readonly digest: string;
  readonly callersByToken: ReadonlyMap<string, Caller>;
  readonly pools: ReadonlyMap<string, Pool>;
  readonly adapters: SetTable<Adapter>;
  readonly routes: SetTable<Route>;
  readonly services: ReadonlyMap<string, Service>;
  readonly backendServers: ReadonlyMap<string, BackendServer>;
  readonly limits: ReadonlyMap<string, TenantLimit>;
  readonly objectives: readonly Objective[];
  readonly operatorsByToken: ReadonlyMap<string, Operator>;
};

/** A set with the holding from which it was built. */
export type BuiltSet = { readonly set: PublishedSet; readonly holding: Holding };

function digestsOf(holding: Holding, kind: ObjectKind): readonly string[] {
  return holding.manifest.filter((part) => part.kind === kind).map(({ digest }) => digest);
}

function textsOf(holding: Holding, kind: ObjectKind): readonly string[] {
  return digestsOf(holding, kind).flatMap((digest) => holding.texts.get(digest) ?? []);
}

function objectsOf<T extends SetObject>(holding: Holding, kind: T['kind']): readonly T[] {
  return textsOf(holding, kind).flatMap((text) =>
    splitLines(text).map((line) => JSON.parse(line) as T),
  );
}

function byName<T extends SetObject>(holding: Holding, kind: T['kind']): ReadonlyMap<string, T> {
  return new Map(objectsOf<T>(holding, kind).map((object) => [object.name, object]));
}

/**
 * Builds a set from the parts that a process holds; kinds that are not held are empty.
 *
 * @param holding The parts.
 * @param generation The set's generation.
 * @param previous The set before, from which tables whose parts did not change are taken.
 */
export function buildSet(holding: Holding, generation: number, previous?: BuiltSet): PublishedSet {
  const isUnchanged = (kind: ObjectKind): boolean =>
    previous !== undefined &&
    digestsOf(previous.holding, kind).join() === digestsOf(holding, kind).join();
  const table = <T>(kind: ObjectKind, old: T | undefined, build: () => T): T =>
    old !== undefined && isUnchanged(kind) ? old : build();
  const old = previous?.set;
  return {
    generation,
    digest: holding.digest,
    callersByToken: table('caller', old?.callersByToken, () => {
      const callers = objectsOf<Caller>(holding, 'caller');
      return new Map(callers.map((caller) => [caller.tokenSha256, caller]));
    }),
    pools: table('pool', old?.pools, () => byName<Pool>(holding, 'pool')),
    adapters: new PackedTable<Adapter>('adapter', textsOf(holding, 'adapter')),
    routes: new PackedTable<Route>('route', textsOf(holding, 'route')),
    services: table('service', old?.services, () => byName<Service>(holding, 'service')),
    backendServers: table('backend_server', old?.backendServers, () =>
      byName<BackendServer>(holding, 'backend_server'),
    ),
    limits: table('limit', old?.limits, () => byName<TenantLimit>(holding, 'limit')),
    objectives: table('objective', old?.objectives, () =>
      objectsOf<Objective>(holding, 'objective'),
    ),
    operatorsByToken: table('operator', old?.operatorsByToken, () => {
      const operators = objectsOf<Operator>(holding, 'operator');
      return new Map(operators.map((operator) => [operator.tokenSha256, operator]));
    }),
  };
}

/**
 * Indexes the objects of a checked set.
 *
 * @param objects All objects of the set.
 * @param stamp The set's generation and digest.
 */
export function indexSet(objects: readonly SetObject[], stamp: SetStamp): PublishedSet {
  return { ...buildSet(holdObjects(objects), stamp.generation), digest: stamp.digest };
}
