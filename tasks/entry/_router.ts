import { Ejection } from '../../core/admission/mod.ts';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { AdapterVersion, ExchangeName } from '../../core/identity/mod.ts';
import type { Membership } from '../../core/membership/mod.ts';
import type { Outcome } from '../../core/outcome/mod.ts';
import { RouteTable } from '../../core/placement/mod.ts';
import type { Pool, PublishedSet } from '../../core/set/mod.ts';
import type { OpenRequest } from './_openRequest.ts';
import type { LinkStatus } from './linkTask.ts';

/** How to build a `Router`. */
export type RouterOptions = {
  readonly clock: Clock;
  readonly membership: Membership;
  /** The last status of each link, by host. */
  readonly statuses: ReadonlyMap<string, LinkStatus>;
  /** Where this entry is. */
  readonly availabilityZone: string;
};

type PoolTable = { readonly policy: Pool['policy']; readonly table: RouteTable };

type Sent = {
  readonly host: string;
  readonly table: RouteTable;
  readonly adapterVersion: AdapterVersion;
};

const BETWEEN_ZONES_MS: Milliseconds = 1;

/** Chooses the host that each request is sent to. */
export class Router {
  readonly #options: RouterOptions;

  readonly #tables = new Map<string, PoolTable>();

  readonly #poolOf = new Map<string, string>();

  readonly #sent = new Map<ExchangeName, Sent>();

  readonly #ejection = new Ejection();

  #set: PublishedSet | undefined;

  constructor(options: RouterOptions) {
    this.#options = options;
  }

  /** Takes the set in force. */
  noteSet(set: PublishedSet): void {
    this.#set = set;
    for (const [name, { policy }] of this.#tables) {
      if (set.pools.get(name)?.policy !== policy) this.#tables.delete(name);
    }
    for (const { name, policy } of set.pools.values()) {
      if (!this.#tables.has(name)) this.#tables.set(name, this.#createTable(name, policy));
    }
    this.#options.statuses.forEach((status) => this.noteStatus(status));
  }

  /** Takes the status of a link. */
  noteStatus({ host, report }: LinkStatus): void {
    const pool = this.#set?.backendServers.get(report.backendServer)?.pool ?? '';
    const earlier = this.#poolOf.get(host);
    if (earlier !== undefined && earlier !== pool) this.#tables.get(earlier)?.table.remove(host);
    this.#poolOf.set(host, pool);
    const table = this.#tables.get(pool)?.table;
    if (table === undefined) return;
    table.add(host, this.#distanceTo(host));
    const { wanted = [], freeSlots = 0, displacedUses = 0 } = report;
    table.note({ ...report, host, wanted, freeSlots, displacedUses });
  }

  /** Forgets a host. */
  forget(host: string): void {
    const pool = this.#poolOf.get(host);
    this.#poolOf.delete(host);
    this.#ejection.forget(host);
    if (pool !== undefined) this.#tables.get(pool)?.table.remove(host);
  }

  /** Notes that a request was sent. */
  sent({ destination, exchange, host }: OpenRequest): void {
    if (destination.kind !== 'pool') return;
    const table = this.#tables.get(destination.pool)?.table;
    if (table === undefined) return;
    const { adapterVersion } = destination;
    this.#sent.set(exchange, { host, table, adapterVersion });
    table.sent(host, adapterVersion);
  }

  /** Notes how a request at a host ended. */
  noteOutcome(host: string, outcome: Outcome): void {
    this.#ejection.note(host, outcome, this.#options.clock.now());
  }

  /** Notes that an exchange has ended; does nothing when that is known. */
  ended(exchange: ExchangeName): void {
    const sent = this.#sent.get(exchange);
    if (sent === undefined) return;
    this.#sent.delete(exchange);
    sent.table.ended(sent.host, sent.adapterVersion);
  }

  /**
   * Chooses a host.
   *
   * @param request The request; hosts that it has tried are left out.
   * @returns The host, or `undefined` when none can be reached.
   */
  choose(request: Pick<OpenRequest, 'destination' | 'tried'>): string | undefined {
    const { destination, tried } = request;
    if (destination.kind === 'pool') {
      const table = this.#tables.get(destination.pool)?.table;
      return table?.choose(
        destination.adapterVersion,
        (host) => !tried.has(host) && this.#mayTakeWork(host),
      );
    }
    for (const { host, health, report } of this.#options.statuses.values()) {
      const isChosen =
        destination.kind === 'host'
          ? host === destination.host && health === 'ready'
          : this.#serves(report.backendServer, destination.service) && this.#mayTakeWork(host);
      if (isChosen && !tried.has(host)) return host;
    }
    return undefined;
  }

  #createTable(pool: string, policy: Pool['policy']): PoolTable {
    const table = new RouteTable({ policy });
    this.#poolOf.forEach((name, host) => {
      if (name === pool) table.add(host, this.#distanceTo(host));
    });
    return { policy, table };
  }

  #serves(backendServer: string, service: string): boolean {
    return this.#set?.backendServers.get(backendServer)?.service === service;
  }

  #mayTakeWork(host: string): boolean {
    const { clock, membership, statuses } = this.#options;
    const status = statuses.get(host);
    return (
      status?.health === 'ready' &&
      membership.mayTakeWork(host, status.incarnation) &&
      !this.#ejection.isEjected(host, clock.now())
    );
  }

  #distanceTo(host: string): Milliseconds {
    const { membership, availabilityZone } = this.#options;
    const isNear = membership.find(host)?.availabilityZone === availabilityZone;
    return isNear ? 0 : BETWEEN_ZONES_MS;
  }
}
