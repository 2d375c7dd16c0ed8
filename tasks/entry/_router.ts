import { OutlierDetector } from '../../core/admission/mod.ts';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { AdapterVersion, ExchangeId } from '../../core/identity/mod.ts';
import type { Membership } from '../../core/membership/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';
import { RouteTable } from '../../core/placement/mod.ts';
import type { Pool, PublishedSet } from '../../core/set/mod.ts';
import type { OpenRequest } from './_openRequest.ts';
import type { LinkStatus } from './linkTask.ts';

/** Options of a `Router`. */
export type RouterOptions = {
  readonly clock: Clock;
  readonly membership: Membership;
  /** The latest status of each link, by host. */
  readonly statuses: ReadonlyMap<string, LinkStatus>;
  /** The zone of this entry. */
  readonly availabilityZone: string;
};

type PoolTable = { readonly policy: Pool['policy']; readonly table: RouteTable };

type InFlightRequest = {
  readonly host: string;
  readonly table: RouteTable;
  readonly adapterVersion: AdapterVersion;
};

/** Routing distance to a host in another availability zone; hosts in the same zone have 0. */
const CROSS_ZONE_DISTANCE_MS: Milliseconds = 1;

/** Chooses a host for each request. */
export class Router {
  readonly #options: RouterOptions;

  readonly #tables = new Map<string, PoolTable>();

  readonly #poolByHost = new Map<string, string>();

  readonly #inFlight = new Map<ExchangeId, InFlightRequest>();

  readonly #outlierDetector = new OutlierDetector();

  #set: PublishedSet | undefined;

  constructor(options: RouterOptions) {
    this.#options = options;
  }

  /** Applies the set in force. */
  applySet(set: PublishedSet): void {
    this.#set = set;
    for (const [name, { policy }] of this.#tables) {
      if (set.pools.get(name)?.policy !== policy) this.#tables.delete(name);
    }
    for (const { name, policy } of set.pools.values()) {
      if (!this.#tables.has(name)) this.#tables.set(name, this.#createTable(name, policy));
    }
    this.#options.statuses.forEach((status) => this.updateStatus(status));
  }

  /** Updates a host's routing data from the status of its link. */
  updateStatus({ host, report }: LinkStatus): void {
    const pool = this.#set?.backendServers.get(report.backendServer)?.pool ?? '';
    const oldPool = this.#poolByHost.get(host);
    if (oldPool !== undefined && oldPool !== pool) this.#tables.get(oldPool)?.table.remove(host);
    this.#poolByHost.set(host, pool);
    const table = this.#tables.get(pool)?.table;
    if (table === undefined) return;
    table.add(host, this.#distanceTo(host));
    const { wanted = [], freeSlots = 0, displacedUses = 0 } = report;
    table.applyReport({ ...report, host, wanted, freeSlots, displacedUses });
  }

  /** Removes a host. */
  removeHost(host: string): void {
    const pool = this.#poolByHost.get(host);
    this.#poolByHost.delete(host);
    this.#outlierDetector.forget(host);
    if (pool !== undefined) this.#tables.get(pool)?.table.remove(host);
  }

  /** Records that a request was sent to its host. */
  recordSent({ destination, exchange, host }: OpenRequest): void {
    if (destination.kind !== 'pool') return;
    const table = this.#tables.get(destination.pool)?.table;
    if (table === undefined) return;
    const { adapterVersion } = destination;
    this.#inFlight.set(exchange, { host, table, adapterVersion });
    table.recordSent(host, adapterVersion);
  }

  /** Records an outcome at a host, which may eject the host. */
  recordOutcome(host: string, outcome: Outcome): void {
    this.#outlierDetector.noteOutcome(host, outcome, this.#options.clock.now());
  }

  /** Records the end of an exchange; does nothing if it was recorded before. */
  recordEnded(exchange: ExchangeId): void {
    const sent = this.#inFlight.get(exchange);
    if (sent === undefined) return;
    this.#inFlight.delete(exchange);
    sent.table.recordEnded(sent.host, sent.adapterVersion);
  }

  /**
   * Chooses a host for a request.
   *
   * @param request The request; the hosts that it has tried are excluded.
   * @returns The host, or `undefined` if none is available.
   */
  choose(request: Pick<OpenRequest, 'destination' | 'triedHosts'>): string | undefined {
    const { destination, triedHosts } = request;
    if (destination.kind === 'pool') {
      const table = this.#tables.get(destination.pool)?.table;
      return table?.choose(
        destination.adapterVersion,
        (host) => !triedHosts.has(host) && this.#mayTakeWork(host),
      );
    }
    for (const { host, health, report } of this.#options.statuses.values()) {
      const isEligible =
        destination.kind === 'host'
          ? host === destination.host && health === 'ready'
          : this.#serves(report.backendServer, destination.service) && this.#mayTakeWork(host);
      if (isEligible && !triedHosts.has(host)) return host;
    }
    return undefined;
  }

  #createTable(pool: string, policy: Pool['policy']): PoolTable {
    const table = new RouteTable({ policy });
    this.#poolByHost.forEach((name, host) => {
      if (name === pool) table.add(host, this.#distanceTo(host));
    });
    return { policy, table };
  }

  #serves(backendServer: string, service: string): boolean {
    return this.#set?.backendServers.get(backendServer)?.service === service;
  }

  /** Returns whether a host is reachable, not leaving and not ejected. */
  #mayTakeWork(host: string): boolean {
    const { clock, membership, statuses } = this.#options;
    const status = statuses.get(host);
    return (
      status?.health === 'ready' &&
      membership.mayTakeWork(host, status.incarnation) &&
      !this.#outlierDetector.isEjected(host, clock.now())
    );
  }

  #distanceTo(host: string): Milliseconds {
    const { membership, availabilityZone } = this.#options;
    const isSameZone = membership.find(host)?.availabilityZone === availabilityZone;
    return isSameZone ? 0 : CROSS_ZONE_DISTANCE_MS;
  }
}
