import type { Milliseconds } from '../clock/mod.ts';
import type { BackendServer } from './backendServer.ts';

/** How long a server whose record lapsed stays usable after the store has returned. */
export const LAPSE_GRACE_MS: Milliseconds = 2000;

/** How to build a `Fleet`. */
export type FleetOptions = {
  /** @default LAPSE_GRACE_MS */
  readonly lapseGraceMs?: Milliseconds;
};

/** A change of the fleet that its owner may act on. */
export type FleetChange =
  | { readonly kind: 'listed'; readonly server: BackendServer }
  | { readonly kind: 'leaving'; readonly server: BackendServer }
  | { readonly kind: 'left'; readonly server: BackendServer };

/**
 * The backend servers that are published, by id.
 *
 * A record that is removed while the store is reachable names a server that has left. A list that is
 * read anew after the store was away may lack servers that are alive: these stay for `lapseGraceMs`
 * unless their record returns.
 */
export class Fleet {
  readonly #servers = new Map<string, BackendServer>();

  /** When a server that a new list lacked is taken as gone, by id. */
  readonly #lapses = new Map<string, Milliseconds>();

  readonly #lapseGraceMs: Milliseconds;

  constructor(options: FleetOptions = {}) {
    this.#lapseGraceMs = options.lapseGraceMs ?? LAPSE_GRACE_MS;
  }

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

  /** Takes a whole list; servers that it lacks stay for a moment. */
  replace(
    list: readonly BackendServer[],
    now: Milliseconds,
    isAfterOutage: boolean,
  ): readonly FleetChange[] {
    const listed = new Set(list.map(({ id }) => id));
    const changes = list.map((server) => this.put(server));
    for (const id of [...this.#servers.keys()]) {
      if (listed.has(id)) continue;
      if (!isAfterOutage) changes.push(this.remove(id));
      else if (!this.#lapses.has(id)) this.#lapses.set(id, now + this.#lapseGraceMs);
    }
    return changes.filter((change) => change !== undefined);
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
