import type { Milliseconds } from '../clock/mod.ts';
import type { AdapterVersion } from '../identity/mod.ts';
import type { PoolPolicy } from '../set/mod.ts';
import { hashText } from './rendezvousOrder.ts';
import { routeCost } from './routeCost.ts';
import type { RouteWeights } from './routeCost.ts';

/** What a backend server's report says to routing. */
export type ServerReport = {
  readonly host: string;
  readonly running: number;
  readonly waiting: number;
  readonly batchWidth: number;
  readonly resident: readonly AdapterVersion[];
  /** Adapter versions that load or wait for a load. */
  readonly wanted: readonly AdapterVersion[];
  /** Slots that are empty or whose adapter version is not in use. */
  readonly freeSlots: number;
  /** Recent uses of the adapter version that a load would displace; 0 when a slot is empty. */
  readonly displacedUses: number;
};

/** How to build a `RouteTable`. */
export type RouteTableOptions = {
  readonly policy: PoolPolicy;
  /** Which servers without the adapter version are looked at. @default 'two-choices' */
  readonly search?: 'two-choices' | 'full-scan';
  /** Weights that replace those of the policy. */
  readonly weights?: Partial<RouteWeights>;
};

type Holding = {
  readonly peer: Peer;
  isResident: boolean;
  /** Requests for it that this entry has at the server. */
  own: number;
  /** Number of the report that named it last. */
  seen: number;
};

type Peer = {
  readonly host: string;
  readonly hash: number;
  readonly distanceMs: Milliseconds;
  readonly holdings: Map<AdapterVersion, Holding>;
  batchWidth: number;
  /** Requests at the server by its last report. */
  reported: number;
  wanted: number;
  freeSlots: number;
  displacedUses: number;
  reports: number;
  own: number;
  ownAtReport: number;
};

const POLICY_WEIGHTS: Readonly<Record<PoolPolicy, RouteWeights>> = {
  'batch-efficiency': {
    stall: 1,
    queue: 1,
    batchLoss: 4,
    distance: 1,
    disagreement: 1,
    displaced: 1,
  },
  'load-stalls': { stall: 1, queue: 1, batchLoss: 0, distance: 1, disagreement: 1, displaced: 1 },
};

const MIX_FIRST = 0x85eb_ca6b;

const MIX_SECOND = 0xc2b2_ae35;

/** Mixes two hashes into a whole number that depends on all bits of both. */
function mix(a: number, b: number): number {
  /* eslint-disable no-bitwise -- hashing works on bits */
  let hash = Math.imul(a ^ b, MIX_FIRST);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_SECOND);
  return (hash ^ (hash >>> 16)) >>> 0;
  /* eslint-enable no-bitwise */
}

/**
 * Knows the backend servers of one pool and chooses one for each request.
 *
 * A choice looks at the servers that hold the adapter version and at few others, and creates no
 * object.
 */
export class RouteTable {
  readonly #weights: RouteWeights;

  readonly #search: 'two-choices' | 'full-scan';

  readonly #peers: Peer[] = [];

  /** The hash of each of `#peers`, in the same order. */
  readonly #hashes: number[] = [];

  readonly #byHost = new Map<string, Peer>();

  readonly #holders = new Map<AdapterVersion, Holding[]>();

  #first: Peer | undefined;

  #second: Peer | undefined;

  #best: Peer | undefined;

  #least = 0;

  constructor(options: RouteTableOptions) {
    this.#weights = { ...POLICY_WEIGHTS[options.policy], ...options.weights };
    this.#search = options.search ?? 'two-choices';
  }

  /** Adds a server; does nothing when it is known. */
  add(host: string, distanceMs: Milliseconds): void {
    if (this.#byHost.has(host)) return;
    const peer: Peer = {
      host,
      hash: hashText(host),
      distanceMs,
      holdings: new Map(),
      batchWidth: 1,
      reported: 0,
      wanted: 0,
      freeSlots: 0,
      displacedUses: 0,
      reports: 0,
      own: 0,
      ownAtReport: 0,
    };
    this.#byHost.set(host, peer);
    this.#peers.push(peer);
    this.#hashes.push(peer.hash);
  }

  /** Removes a server. */
  remove(host: string): void {
    const peer = this.#byHost.get(host);
    if (peer === undefined) return;
    this.#byHost.delete(host);
    const index = this.#peers.indexOf(peer);
    this.#peers.splice(index, 1);
    this.#hashes.splice(index, 1);
    peer.holdings.forEach((holding, adapterVersion) => this.#forget(adapterVersion, holding));
  }

  /** Takes a server's report. */
  note(report: ServerReport): void {
    const peer = this.#byHost.get(report.host);
    if (peer === undefined) return;
    peer.reports += 1;
    peer.batchWidth = report.batchWidth;
    peer.reported = report.running + report.waiting;
    peer.wanted = report.wanted.length;
    peer.freeSlots = report.freeSlots;
    peer.displacedUses = report.displacedUses;
    peer.ownAtReport = peer.own;
    report.wanted.forEach((name) => this.#hold(peer, name, false));
    report.resident.forEach((name) => this.#hold(peer, name, true));
    peer.holdings.forEach((holding, name) => {
      if (holding.seen !== peer.reports && holding.own === 0) this.#forget(name, holding);
    });
  }

  /** Notes that a request was sent. */
  sent(host: string, adapterVersion: AdapterVersion): void {
    const peer = this.#byHost.get(host);
    if (peer === undefined) return;
    peer.own += 1;
    const known = peer.holdings.get(adapterVersion);
    if (known !== undefined) {
      known.own += 1;
      return;
    }
    peer.wanted += 1;
    this.#hold(peer, adapterVersion, false).own += 1;
  }

  /** Notes that a request sent earlier has ended. */
  ended(host: string, adapterVersion: AdapterVersion): void {
    const peer = this.#byHost.get(host);
    const holding = peer?.holdings.get(adapterVersion);
    if (peer === undefined || holding === undefined || holding.own === 0) return;
    peer.own -= 1;
    holding.own -= 1;
  }

  /**
   * Chooses a server.
   *
   * @param adapterVersion What the request needs.
   * @param mayTake Tells whether a server may get the request.
   * @returns The host, or `undefined` when no server may get it.
   */
  choose(adapterVersion: AdapterVersion, mayTake: (host: string) => boolean): string | undefined {
    this.#findPreferred(hashText(adapterVersion), mayTake);
    const first = this.#first;
    if (first === undefined) return undefined;
    this.#best = first;
    this.#least = this.#cost(first, adapterVersion);
    const holders = this.#holders.get(adapterVersion);
    if (holders !== undefined) {
      for (let index = 0; index < holders.length; index += 1) {
        this.#consider(holders[index]!.peer, adapterVersion, mayTake);
      }
    }
    if (this.#search === 'full-scan') this.#scan(adapterVersion, mayTake);
    else if (this.#second !== undefined) this.#consider(this.#second, adapterVersion, mayTake);
    return this.#best.host;
  }

  #scan(adapterVersion: AdapterVersion, mayTake: (host: string) => boolean): void {
    for (let index = 0; index < this.#peers.length; index += 1) {
      this.#consider(this.#peers[index]!, adapterVersion, mayTake);
    }
  }

  #consider(peer: Peer, adapterVersion: AdapterVersion, mayTake: (host: string) => boolean): void {
    const cost = this.#cost(peer, adapterVersion);
    if (cost >= this.#least || !mayTake(peer.host)) return;
    this.#least = cost;
    this.#best = peer;
  }

  /** Finds the first two servers of the rendezvous order that may take the request. */
  #findPreferred(hash: number, mayTake: (host: string) => boolean): void {
    this.#first = undefined;
    this.#second = undefined;
    let highest = -1;
    let runnerUp = -1;
    for (let index = 0; index < this.#hashes.length; index += 1) {
      const score = mix(hash, this.#hashes[index]!);
      if (score <= runnerUp) continue;
      const peer = this.#peers[index]!;
      if (!mayTake(peer.host)) continue;
      if (score > highest) {
        runnerUp = highest;
        this.#second = this.#first;
        highest = score;
        this.#first = peer;
      } else {
        runnerUp = score;
        this.#second = peer;
      }
    }
  }

  #cost(peer: Peer, adapterVersion: AdapterVersion): number {
    const holding = peer.holdings.get(adapterVersion);
    const load = Math.max(peer.own, peer.reported + peer.own - peer.ownAtReport);
    return routeCost(
      {
        load,
        batchWidth: peer.batchWidth,
        wanted: peer.wanted,
        freeSlots: peer.freeSlots,
        displacedUses: peer.displacedUses,
        distanceMs: peer.distanceMs,
        isResident: holding?.isResident ?? false,
        isWanted: holding !== undefined && !holding.isResident,
        isPreferred: peer === this.#first,
      },
      this.#weights,
    );
  }

  #hold(peer: Peer, adapterVersion: AdapterVersion, isResident: boolean): Holding {
    const known = peer.holdings.get(adapterVersion);
    if (known !== undefined) {
      known.isResident = isResident;
      known.seen = peer.reports;
      return known;
    }
    const holding: Holding = { peer, isResident, own: 0, seen: peer.reports };
    peer.holdings.set(adapterVersion, holding);
    const holders = this.#holders.get(adapterVersion);
    if (holders === undefined) this.#holders.set(adapterVersion, [holding]);
    else holders.push(holding);
    return holding;
  }

  #forget(adapterVersion: AdapterVersion, holding: Holding): void {
    holding.peer.holdings.delete(adapterVersion);
    const holders = this.#holders.get(adapterVersion);
    if (holders === undefined) return;
    holders.splice(holders.indexOf(holding), 1);
    if (holders.length === 0) this.#holders.delete(adapterVersion);
  }
}
