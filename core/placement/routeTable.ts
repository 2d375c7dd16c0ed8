import type { Milliseconds } from '../clock/mod.ts';
import type { AdapterVersion } from '../identity/mod.ts';
import type { PoolPolicy } from '../set/mod.ts';
import { hashText } from './rendezvousOrder.ts';
import { routeCost } from './routeCost.ts';
import type { RouteWeights } from './routeCost.ts';

/** The part of a backend server's load report that routing uses. */
export type ServerReport = {
  readonly host: string;
  readonly running: number;
  readonly waiting: number;
  readonly batchWidth: number;
  readonly resident: readonly AdapterVersion[];
  /** Adapter versions that are loading or wait for a load. */
  readonly wanted: readonly AdapterVersion[];
  /** Number of slots that are empty or whose adapter version no request needs. */
  readonly freeSlots: number;
  /** Decayed use count of the adapter version that a load would evict; 0 when a slot is empty. */
  readonly displacedUses: number;
};

/** Options of a `RouteTable`. */
export type RouteTableOptions = {
  readonly policy: PoolPolicy;
  /** Which servers that do not hold the adapter version are considered. @default 'two-choices' */
  readonly search?: 'two-choices' | 'full-scan';
  /** Overrides for the weights of the policy. */
  readonly weights?: Partial<RouteWeights>;
};

/** An adapter version that is loaded, is loading or waits for a load at a server. */
type ServerAdapter = {
  readonly server: Server;
  isResident: boolean;
  /** Requests for the adapter version that this entry has in flight at the server. */
  inFlight: number;
  /** Value of `reports` when the adapter version was last listed or added. */
  lastReport: number;
};

type Server = {
  readonly host: string;
  readonly hash: number;
  readonly distanceMs: Milliseconds;
  readonly adapters: Map<AdapterVersion, ServerAdapter>;
  batchWidth: number;
  /** Requests at the server, of all entries, according to its last report. */
  reportedRequests: number;
  /** Number of adapter versions that are loading or wait for a load. */
  wanted: number;
  freeSlots: number;
  displacedUses: number;
  /** Number of load reports received. */
  reports: number;
  /** Requests that this entry has in flight at the server. */
  inFlight: number;
  /** Value of `inFlight` when the last report arrived. */
  inFlightAtReport: number;
};

const POLICY_WEIGHTS: Readonly<Record<PoolPolicy, RouteWeights>> = {
  'batch-efficiency': {
    stall: 1,
    queue: 1,
    batchLoss: 4,
    distance: 1,
    nonPreferred: 1,
    displaced: 1,
  },
  'load-stalls': { stall: 1, queue: 1, batchLoss: 0, distance: 1, nonPreferred: 1, displaced: 1 },
};

// Multipliers of the MurmurHash3 32-bit finalizer.
const MURMUR_MULTIPLIER_1 = 0x85eb_ca6b;

const MURMUR_MULTIPLIER_2 = 0xc2b2_ae35;

/** Mixes two hashes into an unsigned 32-bit hash that depends on all bits of both. */
function mixHashes(a: number, b: number): number {
  /* eslint-disable no-bitwise -- hashing works on bits */
  let hash = Math.imul(a ^ b, MURMUR_MULTIPLIER_1);
  hash = Math.imul(hash ^ (hash >>> 13), MURMUR_MULTIPLIER_2);
  return (hash ^ (hash >>> 16)) >>> 0;
  /* eslint-enable no-bitwise */
}

/**
 * Tracks the load of the backend servers of one pool and chooses one for each request.
 *
 * `choose` compares the servers that hold or load the adapter version with the first two of the
 * rendezvous order. It allocates no collections; its intermediate results are in fields.
 */
export class RouteTable {
  readonly #weights: RouteWeights;

  readonly #search: 'two-choices' | 'full-scan';

  readonly #servers: Server[] = [];

  /** The hash of each of `#servers`, in the same order. */
  readonly #hashes: number[] = [];

  readonly #byHost = new Map<string, Server>();

  /** Servers at which an adapter version is loaded, is loading or waits for a load. */
  readonly #byAdapterVersion = new Map<AdapterVersion, ServerAdapter[]>();

  #preferred: Server | undefined;

  #runnerUp: Server | undefined;

  #best: Server | undefined;

  #lowestCost = 0;

  constructor(options: RouteTableOptions) {
    this.#weights = { ...POLICY_WEIGHTS[options.policy], ...options.weights };
    this.#search = options.search ?? 'two-choices';
  }

  /** Adds a server. Does nothing when the host is already known. */
  add(host: string, distanceMs: Milliseconds): void {
    if (this.#byHost.has(host)) return;
    const server: Server = {
      host,
      hash: hashText(host),
      distanceMs,
      adapters: new Map(),
      batchWidth: 1,
      reportedRequests: 0,
      wanted: 0,
      freeSlots: 0,
      displacedUses: 0,
      reports: 0,
      inFlight: 0,
      inFlightAtReport: 0,
    };
    this.#byHost.set(host, server);
    this.#servers.push(server);
    this.#hashes.push(server.hash);
  }

  /** Removes a server. */
  remove(host: string): void {
    const server = this.#byHost.get(host);
    if (server === undefined) return;
    this.#byHost.delete(host);
    const index = this.#servers.indexOf(server);
    this.#servers.splice(index, 1);
    this.#hashes.splice(index, 1);
    server.adapters.forEach((adapter, adapterVersion) =>
      this.#dropAdapter(adapterVersion, adapter),
    );
  }

  /** Applies a server's load report. */
  applyReport(report: ServerReport): void {
    const server = this.#byHost.get(report.host);
    if (server === undefined) return;
    server.reports += 1;
    server.batchWidth = report.batchWidth;
    server.reportedRequests = report.running + report.waiting;
    server.wanted = report.wanted.length;
    server.freeSlots = report.freeSlots;
    server.displacedUses = report.displacedUses;
    server.inFlightAtReport = server.inFlight;
    report.wanted.forEach((name) => this.#setAdapter(server, name, false));
    report.resident.forEach((name) => this.#setAdapter(server, name, true));
    server.adapters.forEach((held, name) => {
      if (held.lastReport !== server.reports && held.inFlight === 0) this.#dropAdapter(name, held);
    });
  }

  /** Records that this entry sent a request to a server. */
  recordSent(host: string, adapterVersion: AdapterVersion): void {
    const server = this.#byHost.get(host);
    if (server === undefined) return;
    server.inFlight += 1;
    const known = server.adapters.get(adapterVersion);
    if (known !== undefined) {
      known.inFlight += 1;
      return;
    }
    server.wanted += 1;
    this.#setAdapter(server, adapterVersion, false).inFlight += 1;
  }

  /** Records that a request sent earlier has ended. */
  recordEnded(host: string, adapterVersion: AdapterVersion): void {
    const server = this.#byHost.get(host);
    const adapter = server?.adapters.get(adapterVersion);
    if (server === undefined || adapter === undefined || adapter.inFlight === 0) return;
    server.inFlight -= 1;
    adapter.inFlight -= 1;
  }

  /**
   * Chooses the server with the lowest cost.
   *
   * @param adapterVersion The adapter version that the request needs.
   * @param mayTake Returns whether a server may take the request.
   * @returns The host, or `undefined` when no server may take the request.
   */
  choose(adapterVersion: AdapterVersion, mayTake: (host: string) => boolean): string | undefined {
    this.#findPreferred(hashText(adapterVersion), mayTake);
    const preferred = this.#preferred;
    if (preferred === undefined) return undefined;
    this.#best = preferred;
    this.#lowestCost = this.#cost(preferred, adapterVersion);
    const holders = this.#byAdapterVersion.get(adapterVersion);
    if (holders !== undefined) {
      for (let index = 0; index < holders.length; index += 1) {
        this.#consider(holders[index]!.server, adapterVersion, mayTake);
      }
    }
    if (this.#search === 'full-scan') this.#scan(adapterVersion, mayTake);
    else if (this.#runnerUp !== undefined) this.#consider(this.#runnerUp, adapterVersion, mayTake);
    return this.#best.host;
  }

  #scan(adapterVersion: AdapterVersion, mayTake: (host: string) => boolean): void {
    for (let index = 0; index < this.#servers.length; index += 1) {
      this.#consider(this.#servers[index]!, adapterVersion, mayTake);
    }
  }

  #consider(
    server: Server,
    adapterVersion: AdapterVersion,
    mayTake: (host: string) => boolean,
  ): void {
    const cost = this.#cost(server, adapterVersion);
    if (cost >= this.#lowestCost || !mayTake(server.host)) return;
    this.#lowestCost = cost;
    this.#best = server;
  }

  /** Finds the first two servers of the rendezvous order that may take the request. */
  #findPreferred(hash: number, mayTake: (host: string) => boolean): void {
    this.#preferred = undefined;
    this.#runnerUp = undefined;
    let highestScore = -1;
    let secondScore = -1;
    for (let index = 0; index < this.#hashes.length; index += 1) {
      const score = mixHashes(hash, this.#hashes[index]!);
      if (score <= secondScore) continue;
      const server = this.#servers[index]!;
      if (!mayTake(server.host)) continue;
      if (score > highestScore) {
        secondScore = highestScore;
        this.#runnerUp = this.#preferred;
        highestScore = score;
        this.#preferred = server;
      } else {
        secondScore = score;
        this.#runnerUp = server;
      }
    }
  }

  #cost(server: Server, adapterVersion: AdapterVersion): number {
    const adapter = server.adapters.get(adapterVersion);
    const load = Math.max(
      server.inFlight,
      server.reportedRequests + server.inFlight - server.inFlightAtReport,
    );
    return routeCost(
      {
        load,
        batchWidth: server.batchWidth,
        wanted: server.wanted,
        freeSlots: server.freeSlots,
        displacedUses: server.displacedUses,
        distanceMs: server.distanceMs,
        isResident: adapter?.isResident ?? false,
        isWanted: adapter !== undefined && !adapter.isResident,
        isPreferred: server === this.#preferred,
      },
      this.#weights,
    );
  }

  #setAdapter(server: Server, adapterVersion: AdapterVersion, isResident: boolean): ServerAdapter {
    const known = server.adapters.get(adapterVersion);
    if (known !== undefined) {
      known.isResident = isResident;
      known.lastReport = server.reports;
      return known;
    }
    const adapter: ServerAdapter = {
      server,
      isResident,
      inFlight: 0,
      lastReport: server.reports,
    };
    server.adapters.set(adapterVersion, adapter);
    const holders = this.#byAdapterVersion.get(adapterVersion);
    if (holders === undefined) this.#byAdapterVersion.set(adapterVersion, [adapter]);
    else holders.push(adapter);
    return adapter;
  }

  #dropAdapter(adapterVersion: AdapterVersion, adapter: ServerAdapter): void {
    adapter.server.adapters.delete(adapterVersion);
    const holders = this.#byAdapterVersion.get(adapterVersion);
    if (holders === undefined) return;
    holders.splice(holders.indexOf(adapter), 1);
    if (holders.length === 0) this.#byAdapterVersion.delete(adapterVersion);
  }
}
