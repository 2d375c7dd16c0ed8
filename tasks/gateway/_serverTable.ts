import { BackendConnections } from '../../carriage/mod.ts';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { ServerView } from '../../core/dispatch/mod.ts';
import type { KeeperState } from '../../core/dispatch/mod.ts';
import { Fleet, isAdapter } from '../../core/serving/mod.ts';
import type {
  BackendServer,
  Engine,
  FleetChange,
  ModelName,
  Service,
} from '../../core/serving/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Dial } from '../ports/mod.ts';
import { KeeperLinks } from './keeperLinks.ts';

/** How to build a `ServerTable`. */
export type ServerTableOptions = {
  /** Name of this process among the entries; new at each start. */
  readonly entry: string;
  /** Port on which keepers listen on their hosts. */
  readonly keeperPort: number;
  readonly clock: Clock;
  readonly dial: Dial;
  readonly log: Log;
  /** Finds what engines of a service hold; `undefined` for plain services. */
  readonly engineOf: (service: string) => Engine | undefined;
  /** Told of a server whose state has changed, so that requests that wait for it are looked at. */
  readonly changed: (view: ServerView) => void;
  /** Told of a server that has left. */
  readonly left: (id: string) => void;
};

/** Servers that have left and whose speeds are remembered. */
const DEPARTED_SERVERS = 500;

/** Addresses may go to another service once their server is gone. */
function placeOf({ service, address }: BackendServer): string {
  return `${service} ${address}`;
}

/** The backend servers that one entry knows, with its connections to them and to their keepers. */
export class ServerTable {
  readonly #options: ServerTableOptions;

  readonly #fleet = new Fleet();

  readonly #views = new Map<string, ServerView>();

  /** Servers that have left, by service and address, the oldest first. */
  readonly #departed = new Map<string, Pick<ServerView, 'usualPauseMs'>>();

  readonly #connections = new Map<string, BackendConnections>();

  readonly #links: KeeperLinks;

  constructor(options: ServerTableOptions) {
    this.#options = options;
    this.#links = new KeeperLinks({
      clock: options.clock,
      dial: options.dial,
      log: options.log,
      tell: (address, state) => this.#applyKeeper(address, state),
      opened: (address) => this.#tellUses(address),
    });
  }

  /** How many servers are known. */
  get size(): number {
    return this.#views.size;
  }

  /** Returns the servers of a service. */
  viewsOf(service: Service): readonly ServerView[] {
    return [...this.#views.values()].filter(({ server }) => server.service === service.name);
  }

  /** Notices silent keepers and lapsed servers; to be called several times a second. */
  tick(): void {
    this.#links.tick();
    this.#fleet.expire(this.#options.clock.now()).forEach((change) => this.#applyChange(change));
  }

  /** Closes all connections. */
  close(): void {
    this.#links.closeAll();
    this.#connections.forEach((connections) => connections.close());
  }

  /** Tells all keepers what their engines can hold. */
  openLinks(): void {
    this.#views.forEach(({ server }) => this.#openLink(server));
  }

  /** Takes one published server. */
  put(server: BackendServer): void {
    this.#renew(server);
    const change = this.#fleet.put(server);
    if (change !== undefined) this.#applyChange(change);
  }

  /**
   * Takes the removal of a published server.
   *
   * @param returnUntil Until when the record may come back, since the store was away a moment ago.
   */
  remove(id: string, returnUntil: Milliseconds | undefined): void {
    if (returnUntil !== undefined) {
      this.#fleet.lapse(id, returnUntil);
      return;
    }
    const change = this.#fleet.remove(id);
    if (change !== undefined) this.#applyChange(change);
  }

  /** Asks the keeper of a server for an adapter. */
  want(view: ServerView, name: ModelName, version: number, waitMs: Milliseconds): void {
    this.#links.want(this.#keeperAddress(view.server), name, version, waitMs);
  }

  /** Notes that a request was sent to a server. */
  noteSent(view: ServerView, name: ModelName | undefined): void {
    this.#tellUse(view, name, view.noteSent(name));
  }

  /** Notes that a request at a server has ended. */
  noteEnded(view: ServerView, name: ModelName | undefined): void {
    this.#tellUse(view, name, view.noteEnded(name));
  }

  /** Returns the connections to a server. */
  connectionsOf(server: BackendServer): BackendConnections {
    let connections = this.#connections.get(server.id);
    if (connections === undefined) {
      connections = new BackendConnections({ address: server.address });
      this.#connections.set(server.id, connections);
    }
    return connections;
  }

  #renew(server: BackendServer): void {
    const view = this.#views.get(server.id);
    if (view !== undefined) view.server = server;
  }

  #tellUse(view: ServerView, name: ModelName | undefined, hasChanged: boolean): void {
    if (!hasChanged || name === undefined || !isAdapter(name)) return;
    this.#links.use(this.#keeperAddress(view.server), name, view.uses.get(name) ?? 0);
  }

  #tellUses(address: string): void {
    this.#viewsAt(address).forEach((view) =>
      view.uses.forEach((count, name) => this.#links.use(address, name, count)),
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
      entry: this.#options.entry,
      engine,
      serverId: server.id,
      bornAt: server.bornAt,
    });
  }

  #applyKeeper(address: string, state: KeeperState | undefined): void {
    this.#viewsAt(address).forEach((view) => {
      if (state === undefined) view.keeper = undefined;
      else view.applyKeeper(state);
      this.#options.changed(view);
    });
  }

  #applyChange(change: FleetChange): void {
    const { server } = change;
    this.#options.log('serverChanged', {
      server: server.id,
      change: change.kind,
      service: server.service,
      address: server.address,
    });
    const handlers: Readonly<Record<FleetChange['kind'], () => void>> = {
      listed: () => {
        this.#views.set(server.id, new ServerView(server, this.#departed.get(placeOf(server))));
        this.#openLink(server);
      },
      leaving: () => {
        const view = this.#views.get(server.id);
        if (view !== undefined) this.#options.changed(view);
      },
      left: () => this.#drop(server),
    };
    handlers[change.kind]();
  }

  #remember(server: BackendServer, usualPauseMs: Milliseconds): void {
    this.#departed.delete(placeOf(server));
    this.#departed.set(placeOf(server), { usualPauseMs });
    const [oldest] = this.#departed.keys();
    if (oldest !== undefined && this.#departed.size > DEPARTED_SERVERS) {
      this.#departed.delete(oldest);
    }
  }

  #drop(server: BackendServer): void {
    const view = this.#views.get(server.id);
    this.#views.delete(server.id);
    this.#options.left(server.id);
    if (view === undefined) return;
    this.#remember(server, view.usualPauseMs);
    const address = this.#keeperAddress(server);
    if (this.#viewsAt(address).length === 0) this.#links.close(address);
    view.keeper = undefined;
    this.#options.changed(view);
    // Requests that it still answers keep their connections, which end with them.
    this.#connections.delete(server.id);
  }
}
