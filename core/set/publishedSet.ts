import type { SetStamp } from '../link/mod.ts';
import type {
  Adapter,
  BackendServer,
  Caller,
  Objective,
  Operator,
  Pool,
  Route,
  Service,
  SetObject,
  TenantLimit,
} from './objects.ts';

/** A checked set in the form in which processes look names up. */
export type PublishedSet = {
  /** Grows by at least one with each published set. */
  readonly generation: number;
  /** SHA-256 over all objects, in hexadecimal. */
  readonly digest: string;
  readonly callersByToken: ReadonlyMap<string, Caller>;
  readonly pools: ReadonlyMap<string, Pool>;
  readonly adapters: ReadonlyMap<string, Adapter>;
  readonly routes: ReadonlyMap<string, Route>;
  readonly services: ReadonlyMap<string, Service>;
  readonly backendServers: ReadonlyMap<string, BackendServer>;
  readonly limits: ReadonlyMap<string, TenantLimit>;
  readonly objectives: readonly Objective[];
  readonly operatorsByToken: ReadonlyMap<string, Operator>;
};

function byName<T extends SetObject>(
  objects: readonly SetObject[],
  kind: T['kind'],
): ReadonlyMap<string, T> {
  const found = objects.filter((object): object is T => object.kind === kind);
  return new Map(found.map((object) => [object.name, object]));
}

/**
 * Indexes the objects of a checked set.
 *
 * @param objects All objects of the set.
 * @param stamp The set's generation and digest.
 */
export function indexSet(objects: readonly SetObject[], stamp: SetStamp): PublishedSet {
  const callers = byName<Caller>(objects, 'caller');
  return {
    ...stamp,
    callersByToken: new Map([...callers.values()].map((caller) => [caller.tokenSha256, caller])),
    pools: byName<Pool>(objects, 'pool'),
    adapters: byName<Adapter>(objects, 'adapter'),
    routes: byName<Route>(objects, 'route'),
    services: byName<Service>(objects, 'service'),
    backendServers: byName<BackendServer>(objects, 'backend_server'),
    limits: byName<TenantLimit>(objects, 'limit'),
    objectives: [...byName<Objective>(objects, 'objective').values()],
    operatorsByToken: new Map(
      [...byName<Operator>(objects, 'operator').values()].map((operator) => [
        operator.tokenSha256,
        operator,
      ]),
    ),
  };
}
