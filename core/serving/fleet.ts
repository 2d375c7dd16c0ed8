import type { Milliseconds } from '../clock/mod.ts';
import type { BackendServer } from './backendServer.ts';

/** A server that was added to the fleet, started draining or was removed. */
export type FleetChange =
  | { readonly kind: 'listed'; readonly server: BackendServer }
  | { readonly kind: 'leaving'; readonly server: BackendServer }
  | { readonly kind: 'left'; readonly server: BackendServer };

/**
 * The published backend servers, by id.
 *
 * If a record is removed while the store is reachable, its server is removed immediately. Records that
 * expired while the store was unreachable may belong to servers that are alive. These servers are removed
 * after a grace period unless their record returns.
 */
export class Fleet {
  readonly #servers = new Map<string, BackendServer>();

  /** When to remove a server whose record has expired, by id. */
  readonly #removalTimes = new Map<string, Milliseconds>();

  /** All published servers, and those in their grace period. */
  get servers(): ReadonlyMap<string, BackendServer> {
    return this.#servers;
  }

  /** Adds or updates a server. Returns the change if the server is new or starts draining. */
  put(server: BackendServer): FleetChange | undefined {
    const known = this.#servers.get(server.id);
    this.#removalTimes.delete(server.id);
    this.#servers.set(server.id, server);
    if (known === undefined) return { kind: 'listed', server };
    const startsDraining = server.state === 'draining' && known.state === 'ready';
    return startsDraining ? { kind: 'leaving', server } : undefined;
  }

  /** Removes a server. Returns the change if the server was known. */
  remove(id: string): FleetChange | undefined {
    const server = this.#servers.get(id);
    this.#removalTimes.delete(id);
    this.#servers.delete(id);
    return server === undefined ? undefined : { kind: 'left', server };
  }

  /** Schedules a server's removal unless its record returns; the earliest scheduled time counts. */
  scheduleRemoval(id: string, removalTime: Milliseconds): void {
    if (!this.#servers.has(id)) return;
    this.#removalTimes.set(id, Math.min(removalTime, this.#removalTimes.get(id) ?? removalTime));
  }

  /** Removes the servers whose scheduled removal is due. */
  removeExpired(now: Milliseconds): readonly FleetChange[] {
    const changes: FleetChange[] = [];
    for (const [id, until] of [...this.#removalTimes]) {
      const change = until <= now ? this.remove(id) : undefined;
      if (change !== undefined) changes.push(change);
    }
    return changes;
  }
}
