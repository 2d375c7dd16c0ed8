import type { Milliseconds } from '../clock/mod.ts';
import type { BackendServer } from './backendServer.ts';

/** A change of the fleet that its owner may act on. */
export type FleetChange =
  | { readonly kind: 'listed'; readonly server: BackendServer }
  | { readonly kind: 'leaving'; readonly server: BackendServer }
  | { readonly kind: 'left'; readonly server: BackendServer };

/**
 * The backend servers that are published, by id.
 *
 * A record that is removed while the store is reachable names a server that has left. Records that
 * lapsed while the store was away may name servers that are alive: these stay for a while unless
 * their record returns.
 */
export class Fleet {
  readonly #servers = new Map<string, BackendServer>();

  /** When a server that a new list lacked is taken as gone, by id. */
  readonly #lapses = new Map<string, Milliseconds>();

  /** All servers that are published or lapsed a moment ago. */
  get servers(): ReadonlyMap<string, BackendServer> {
    return this.#servers;
  }

  /** Takes one record. */
  put(server: BackendServer): FleetChange | undefined {
    const known = this.#servers.get(server.id);
    this.#lapses.delete(server.id);
    this.#servers.set(server.id, server);
    if (known === undefined) return { kind: 'listed', server };
    const leaves = server.state === 'draining' && known.state === 'ready';
    return leaves ? { kind: 'leaving', server } : undefined;
  }

  /** Takes the removal of one record. */
  remove(id: string): FleetChange | undefined {
    const server = this.#servers.get(id);
    this.#lapses.delete(id);
    this.#servers.delete(id);
    return server === undefined ? undefined : { kind: 'left', server };
  }

  /** Takes the removal of a record that may come back until then, since the store was away. */
  lapse(id: string, until: Milliseconds): void {
    if (!this.#servers.has(id)) return;
    this.#lapses.set(id, Math.min(until, this.#lapses.get(id) ?? until));
  }

  /** Removes servers whose record has lapsed for too long. */
  expire(now: Milliseconds): readonly FleetChange[] {
    const changes: FleetChange[] = [];
    for (const [id, until] of [...this.#lapses]) {
      const change = until <= now ? this.remove(id) : undefined;
      if (change !== undefined) changes.push(change);
    }
    return changes;
  }
}
