import { BackendConnections } from '../../proxy/mod.ts';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { ServerView } from '../../core/dispatch/mod.ts';
import type { KeeperReport } from '../../core/dispatch/mod.ts';
import { Fleet, isAdapter } from '../../core/serving/mod.ts';
import type {
  BackendServer,
  Engine,
  FleetChange,
  ModelName,
  Service,
} from '../../core/serving/mod.ts';
import type { ServerKeeper } from '../../core/streamOrigins/mod.ts';
import type { SocketReads } from '../../http/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Dial } from '../ports/mod.ts';
import type { WorkSummary } from '../../core/serverRoom/mod.ts';
import { KeeperLinks } from './keeperLinks.ts';
import type { FactKeeping } from './_factKeeping.ts';
import type { ServerRooms } from './_serverRooms.ts';
import type { OriginTask } from './originTask.ts';
import type { ServerKeepers } from './serverKeepers.ts';

/** Options of `ServerTable`. */
export type ServerTableOptions = {
  /** Unique id of this entry process; new at each start. */
  readonly entryId: string;
  /** Port on which the keepers listen. */
  readonly keeperPort: number;
  readonly clock: Clock;
  readonly dial: Dial;
  readonly log: Log;
  /** Returns the engine settings of a service; `undefined` for plain services. */
  readonly engineOf: (service: string) => Engine | undefined;
  /** Called when a server's state changes, so that requests waiting for it can be dispatched. */
  readonly onServerChange: (view: ServerView) => void;
  /** Called with each record of a server. */
  readonly onServerRecord: (server: BackendServer) => void;
  /** Called when a server has started again under its id. */
  readonly onServerRestarted: (id: string) => void;
  /** Returns the task that asks keepers where streams began. */
  readonly origins: () => Pick<OriginTask, 'askAgain' | 'applyAnswer'>;
  /** Returns the task that has keepers keep what entries tell each other. */
  readonly facts: () => Pick<FactKeeping, 'noteOpen' | 'apply'>;
  /** What servers have taken on over all entries. */
  readonly rooms: Pick<ServerRooms, 'applyReport' | 'noteOpen'>;
  /** Tells how long ago the callers' sockets were read. @default they always have just been read */
  readonly socketReads?: SocketReads;
  /** Called when a server has been removed. */
  readonly onServerRemoved: (id: string) => void;
};

/** Number of removed servers whose speeds are kept. */
const MAX_REMOVED_SERVERS = 500;

/** Includes the service, since another service may reuse the address of a removed server. */
function addressKeyOf({ service, address }: BackendServer): string {
  return `${service} ${address}`;
}

/** The backend servers known to one entry, and its connections to them and to their keepers. */
export class ServerTable {
  readonly #options: ServerTableOptions;

  readonly #fleet = new Fleet();

  readonly #views = new Map<string, ServerView>();

  /** Mean chunk pauses of removed servers by service and address, the earliest removal first. */
  readonly #removedServerSpeeds = new Map<string, Pick<ServerView, 'usualPauseMs'>>();

  readonly #connections = new Map<string, BackendConnections>();

  readonly #links: KeeperLinks;

  constructor(options: ServerTableOptions) {
    this.#options = options;
    this.#links = new KeeperLinks({
      clock: options.clock,
      dial: options.dial,
      log: options.log,
      onReport: (address, report) => this.#applyKeeperReport(address, report),
      onOpen: (address) => {
        this.#sendUses(address);
        this.#viewsAt(address).forEach((view) => options.rooms.noteOpen(view));
        options.origins().askAgain(address);
        options.facts().noteOpen(address);
      },
      onRoom: (address, room) =>
        this.#viewsAt(address).forEach((view) => options.rooms.applyReport(view, room)),
      onFacts: (facts) => options.facts().apply(facts),
      onOriginAnswer: (address, answer) => options.origins().applyAnswer(address, answer),
    });
  }

  /** Number of known servers. */
  get size(): number {
    return this.#views.size;
  }

  /** Whether a server is known. */
  has(id: string): boolean {
    return this.#views.has(id);
  }

  /** Returns a server by its id. */
  viewOf(id: string): ServerView | undefined {
    return this.#views.get(id);
  }

  /** What is known of all servers. */
  get views(): readonly ServerView[] {
    return [...this.#views.values()];
  }

  /** All known servers. */
  get servers(): readonly BackendServer[] {
    return [...this.#views.values()].map(({ server }) => server);
  }

  /** The keepers of the known engines, as those that keep what must outlive the entries. */
  get keepers(): ServerKeepers {
    return {
      all: () => this.#listKeepers(),
      isOpen: (address) => this.#links.isOpen(address),
      send: (address, message) => this.#links.sendToKeep(address, message),
    };
  }

  /** Returns the servers of a service. */
  viewsOf(service: Service): readonly ServerView[] {
    return [...this.#views.values()].filter(({ server }) => server.service === service.name);
  }

  /** Detects silent keepers and removes servers whose grace period has ended. Call it several times a second. */
  tick(): void {
    this.#links.tick();
    this.#fleet
      .removeExpired(this.#options.clock.now())
      .forEach((change) => this.#applyChange(change));
  }

  /** Closes all connections. */
  close(): void {
    this.#links.closeAll();
    this.#connections.forEach((connections) => connections.close());
  }

  /** Opens the links to the keepers of all engines, or sends them changed engine settings. */
  openLinks(): void {
    this.#views.forEach(({ server }) => this.#openLink(server));
  }

  /** Adds or updates a published server. */
  put(server: BackendServer): void {
    this.#updateRecord(server);
    const change = this.#fleet.put(server);
    if (change !== undefined) this.#applyChange(change);
    this.#options.onServerRecord(server);
  }

  /**
   * Handles the removal of a published server's record.
   *
   * @param removalGraceUntil When to remove the server unless its record returns; set during and
   *   shortly after a store outage. `undefined` removes the server at once.
   */
  remove(id: string, removalGraceUntil: Milliseconds | undefined): void {
    if (removalGraceUntil !== undefined) {
      this.#fleet.scheduleRemoval(id, removalGraceUntil);
      return;
    }
    const change = this.#fleet.remove(id);
    if (change !== undefined) this.#applyChange(change);
  }

  /** Asks a server's keeper to load an adapter. */
  requestAdapter(view: ServerView, name: ModelName, version: number, waitMs: Milliseconds): void {
    this.#links.requestAdapter(this.#keeperAddress(view.server), name, version, waitMs);
  }

  /** Tells a server's keeper, if there is one, what this entry has sent there and is not done. */
  reportWork({ server }: ServerView, work: WorkSummary): void {
    if (this.#options.engineOf(server.service) === undefined) return;
    this.#links.reportWork(this.#keeperAddress(server), work);
  }

  /** Counts a request sent to a server. */
  noteSent(view: ServerView, name: ModelName | undefined): void {
    this.#sendUse(view, name, view.noteSent(name));
  }

  /** Counts the end of a request at a server. */
  noteEnded(view: ServerView, name: ModelName | undefined): void {
    this.#sendUse(view, name, view.noteEnded(name));
  }

  /** Returns the connection pool of a server; that of a former address is a new one without connections. */
  connectionsOf({ id, address }: BackendServer): BackendConnections {
    const known = this.#connections.get(id);
    if (known?.address === address) return known;
    const { socketReads } = this.#options;
    const connections = new BackendConnections({ address, ...(socketReads && { socketReads }) });
    if (this.#views.get(id)?.server.address === address) this.#connections.set(id, connections);
    return connections;
  }

  #listKeepers(): readonly ServerKeeper[] {
    return [...this.#views.values()]
      .filter(({ server }) => this.#options.engineOf(server.service) !== undefined)
      .map(({ server }) => ({
        address: this.#keeperAddress(server),
        service: server.service,
        version: server.softwareVersion,
      }));
  }

  #updateRecord(server: BackendServer): void {
    const view = this.#views.get(server.id);
    if (view === undefined) return;
    const hasRestarted = server.bornAt > view.server.bornAt;
    const hasMoved = server.address !== view.server.address;
    view.server = server;
    if (hasMoved) this.#logChange(server, 'moved');
    if (hasRestarted) this.#options.onServerRestarted(server.id);
  }

  #sendUse(view: ServerView, name: ModelName | undefined, hasChanged: boolean): void {
    if (!hasChanged || name === undefined || !isAdapter(name)) return;
    this.#links.reportUse(
      this.#keeperAddress(view.server),
      name,
      view.requestsByModel.get(name) ?? 0,
    );
  }

  #sendUses(address: string): void {
    this.#viewsAt(address).forEach((view) =>
      view.requestsByModel.forEach((count, name) => this.#links.reportUse(address, name, count)),
    );
  }

  #keeperAddress(server: BackendServer): string {
    return `${server.address.slice(0, server.address.lastIndexOf(':'))}:${this.#options.keeperPort}`;
  }

  #viewsAt(address: string): readonly ServerView[] {
    return [...this.#views.values()].filter(
      ({ server }) => this.#keeperAddress(server) === address,
    );
  }

  #openLink(server: BackendServer): void {
    const engine = this.#options.engineOf(server.service);
    if (engine === undefined) return;
    this.#links.open(this.#keeperAddress(server), {
      entry: this.#options.entryId,
      engine,
      serverId: server.id,
      bornAt: server.bornAt,
    });
  }

  #applyKeeperReport(address: string, report: KeeperReport | undefined): void {
    this.#viewsAt(address).forEach((view) => {
      if (report === undefined) view.keeper = undefined;
      else view.applyKeeperReport(report);
      this.#options.onServerChange(view);
    });
  }

  #logChange(server: BackendServer, change: FleetChange['kind'] | 'moved'): void {
    this.#options.log('serverChanged', {
      server: server.id,
      change,
      service: server.service,
      address: server.address,
    });
  }

  #applyChange(change: FleetChange): void {
    const { server } = change;
    this.#logChange(server, change.kind);
    const handlers: Readonly<Record<FleetChange['kind'], () => void>> = {
      listed: () => {
        this.#views.set(
          server.id,
          new ServerView(server, this.#removedServerSpeeds.get(addressKeyOf(server))),
        );
        this.#openLink(server);
      },
      leaving: () => {
        const view = this.#views.get(server.id);
        if (view !== undefined) this.#options.onServerChange(view);
      },
      left: () => this.#removeView(server),
    };
    handlers[change.kind]();
  }

  #rememberSpeed(server: BackendServer, usualPauseMs: Milliseconds): void {
    this.#removedServerSpeeds.delete(addressKeyOf(server));
    this.#removedServerSpeeds.set(addressKeyOf(server), { usualPauseMs });
    const [oldest] = this.#removedServerSpeeds.keys();
    if (oldest !== undefined && this.#removedServerSpeeds.size > MAX_REMOVED_SERVERS) {
      this.#removedServerSpeeds.delete(oldest);
    }
  }

  #removeView(server: BackendServer): void {
    const view = this.#views.get(server.id);
    this.#views.delete(server.id);
    this.#options.onServerRemoved(server.id);
    if (view === undefined) return;
    this.#rememberSpeed(server, view.usualPauseMs);
    const address = this.#keeperAddress(server);
    if (this.#viewsAt(address).length === 0) this.#links.close(address);
    view.keeper = undefined;
    this.#options.onServerChange(view);
    // Requests still in progress keep their connections, which close when they end.
    this.#connections.delete(server.id);
  }
}
