import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { runAll } from '../../core/collections/mod.ts';
import type { MirrorUpdate, RecordMirror } from '../../core/mirror/mod.ts';
import type { Reach } from '../../core/serverLimits/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import { ReconnectingLinks } from '../links/mod.ts';
import type { Accept, Dial } from '../ports/mod.ts';
import { repeatSteps } from '../_repeatSteps.ts';
import { decodePeerMessage, encodePeerMessage } from './_peerMessages.ts';
import type { DigestMessage } from './_peerMessages.ts';
import { RecordNews } from './_recordNews.ts';
import type { SentNews } from './_recordNews.ts';
import type { OriginTask } from './originTask.ts';
import type { PermitTask } from './permitTask.ts';
import { chooseLinks } from './storeReaderTask.ts';
import type { StoreReaderTask } from './storeReaderTask.ts';
import type { TokenLimitTask } from './tokenLimitTask.ts';

/** The record mirrors that entries keep in sync, by key prefix. */
export type Mirrors = ReadonlyMap<string, RecordMirror>;

/** The kinds of shared state; each is a field of the digest, and of the copies that keepers keep. */
export const SHARED_KINDS = ['quarantine', 'requests', 'limits', 'notices'] as const;

type SharedKind = (typeof SHARED_KINDS)[number];

/** State that entries tell each other, as numbered changes. */
export type SharedState<Update> = {
  /** Number of the latest change. */
  readonly change: number;
  /** Returns what has changed after a change number, or `undefined` if nothing has. */
  readonly updateSince: (change: number, now: Milliseconds) => Update | undefined;
  /** Applies what another entry has sent. */
  readonly applyUpdate: (update: Update, now: Milliseconds) => void;
};

/**
 * What the entries tell each other: traits of requests that crash servers, single requests that do, the
 * limits of servers, and what servers say of themselves.
 */
export type SharedStates = {
  readonly [Kind in SharedKind]: SharedState<NonNullable<DigestMessage[Kind]>>;
};

/** What other entries ask an entry for: permits for servers with a limit, leases on tokens, and the origins of streams. */
export type PeerServices = {
  readonly permits: Pick<PermitTask, 'handleRequest'>;
  readonly leases: Pick<TokenLimitTask, 'handleRequest'>;
  readonly origins: Pick<OriginTask, 'handleMessage'>;
};

const CAPACITY_PER_CORE = 100;

/** Options of `PeerTask`. */
export type PeerTaskOptions = {
  /** Address at which other entries reach this one. */
  readonly address: string;
  /** Addresses of entries to contact at the start; some may be down. */
  readonly seeds: readonly string[];
  readonly mirrors: Mirrors;
  readonly clock: Clock;
  readonly dial: Dial;
  readonly log: Log;
  /** @default counts nothing */
  readonly metrics?: Pick<Metrics, 'count'> | undefined;
  /** Returns the mean event-loop lag of this process. */
  readonly lagMs: () => Milliseconds;
  /** Share of a processor core that this process gets; 0 if unknown. @default 0 */
  readonly cpuShare?: number;
  readonly shared: SharedStates;
  readonly services: PeerServices;
  /** Decides which entries read the store; every entry does without it. */
  readonly readers?: StoreReaderTask | undefined;
  /** Returns when the grace period for removed records ends, if there is one. */
  readonly removalGraceUntil?: ((prefix: string) => Milliseconds | undefined) | undefined;
  /**
   * Called with an update from an entry whose mirror is newer, and with the end of the grace period for
   * removed records that this entry grants, if any.
   */
  readonly onUpdate: (
    prefix: string,
    update: MirrorUpdate,
    removalGraceUntil: Milliseconds | undefined,
  ) => void;
};

/**
 * Number of entries that each entry links to, besides the seeds while it knows fewer. A change reaches
 * all entries within a few digest intervals.
 */
const TARGET_PEER_LINKS = 4;

const DIGEST_INTERVAL_MS: Milliseconds = 400;

/** Delay of a push, so that changes of the same moment go out together. */
const PUSH_DELAY_MS: Milliseconds = 20;

/** Age at which a lag reported by another entry expires. */
const LAG_MAX_AGE_MS: Milliseconds = 2000;

/** Time since an entry was last seen within which it counts as in touch. */
const REACH_MAX_AGE_MS: Milliseconds = 4000;

/** Time since an entry was last seen after which it is removed from the members. */
const MEMBER_TIMEOUT_MS: Milliseconds = 20_000;

/** Changes of the shared state that the receiver of a digest knows. */
type SharedChanges = Readonly<Record<SharedKind, number>>;

const NO_CHANGES: SharedChanges = { quarantine: 0, requests: 0, limits: 0, notices: 0 };

/** The connection that a message came on. */
type MessageOrigin = {
  readonly send: (bytes: Uint8Array) => void;
  /** Records that were last sent on it. */
  readonly sentNews: SentNews;
  /**
   * Sends a digest; absent on own links, whose peer expects none in reply.
   *
   * @param probe Number that the peer has sent, to be returned with a proof of freshness.
   */
  readonly sendDigest?: (probe: number | undefined) => void;
};

/**
 * Gossip between entries: spreads membership, event-loop lags and the newest store records.
 *
 * An entry that the store rejects, or that starts during a store outage, gets the configuration and
 * the servers from its peers.
 */
export class PeerTask {
  readonly #options: PeerTaskOptions;

  readonly #links: ReconnectingLinks;

  /** When each entry was last seen, directly or by a peer. */
  readonly #members = new Map<string, Milliseconds>();

  /** Event-loop lags of other entries, each with the time of its report. */
  readonly #lags = new Map<string, { readonly lagMs: Milliseconds; readonly at: Milliseconds }>();

  /** Capacity of entries, in hundredths of a processor core. */
  readonly #capacities = new Map<string, number>();

  #seeds: readonly string[];

  #maxKnownEntries: number | undefined;

  #cancelDigest: (() => void) | undefined;

  #cancelPush: (() => void) | undefined;

  /** Changes of the shared state that were last sent on the link to an address. */
  readonly #sentChanges = new Map<string, SharedChanges>();

  /** Records that were last sent on the link to an address. */
  readonly #sentNews = new Map<string, SentNews>();

  readonly #news: RecordNews;

  constructor(options: PeerTaskOptions) {
    this.#options = options;
    this.#seeds = options.seeds;
    const { address: own, cpuShare = 0 } = options;
    this.#capacities.set(own, Math.round(cpuShare * CAPACITY_PER_CORE));
    this.#news = new RecordNews({
      ...options,
      // An entry that reads the store knows by its own calls whether removed records may return.
      removalGraceUntil: (prefix) =>
        options.readers?.isActive ? options.removalGraceUntil?.(prefix) : undefined,
    });
    this.#links = new ReconnectingLinks({
      clock: options.clock,
      dial: options.dial,
      onOpen: (address) => {
        this.#sentChanges.delete(address);
        this.#sentNews.set(address, new Map());
        this.#sendDigest(address);
      },
      onMessage: (address, bytes) =>
        this.#receive(bytes, {
          send: (reply) => this.#links.send(address, reply),
          sentNews: this.#sentNews.get(address) ?? new Map(),
        }),
      onLost: (address, reason) => options.log('peerLost', { address, reason }),
    });
  }

  /** Addresses of the known entries, without this one. */
  get members(): readonly string[] {
    return [...this.#members.keys()];
  }

  /** Returns the addresses of the known entries, without this one, of which there was a sign within a time. */
  membersSeenWithin(maxAgeMs: Milliseconds): readonly string[] {
    const oldest = this.#options.clock.now() - maxAgeMs;
    return [...this.#members].flatMap(([member, seenAt]) => (seenAt >= oldest ? [member] : []));
  }

  /** Recently reported event-loop lags of other entries. */
  get lagsMs(): readonly Milliseconds[] {
    const now = this.#options.clock.now();
    this.#lags.forEach(({ at }, member) => {
      if (now - at > LAG_MAX_AGE_MS) this.#lags.delete(member);
    });
    return [...this.#lags.values()].map(({ lagMs }) => lagMs);
  }

  /** Returns the capacity of an entry, in hundredths of a processor core; 0 if it is unknown. */
  capacityOf(address: string): number {
    return this.#capacities.get(address) ?? 0;
  }

  /** How many of the known entries are in touch with this one, itself included. */
  get reach(): Reach {
    const now = this.#options.clock.now();
    const lastSeen = [...this.#members.values()];
    const reachable = lastSeen.filter((at) => now - at <= REACH_MAX_AGE_MS).length;
    return { known: lastSeen.length + 1, reachable: reachable + 1 };
  }

  /** Largest number of entries ever known, with this one; `undefined` before any other was seen. */
  get maxKnownEntries(): number | undefined {
    return this.#maxKnownEntries;
  }

  /** Accepts links from other entries. */
  readonly accept: Accept = (connection) => {
    let sent = NO_CHANGES;
    const origin: MessageOrigin = {
      send: (reply) => connection.send(reply),
      sentNews: new Map(),
      sendDigest: (probe) => {
        connection.send(this.#digest(sent, probe));
        sent = this.#changes;
      },
    };
    return {
      opened: () => undefined,
      received: (bytes) => this.#receive(bytes, origin),
      closed: () => undefined,
    };
  };

  /** Replaces the seeds. */
  applySeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** Starts to link to other entries and to send them digests. */
  start(): void {
    const { clock, log } = this.#options;
    const steps = [
      () => this.#updateLinks(),
      () => this.#links.tick(),
      () => runAll(this.#links.addresses, (address) => this.#sendDigest(address)),
    ];
    steps.forEach((step) => step());
    this.#cancelDigest = repeatSteps({
      task: 'peers',
      clock,
      log,
      intervalMs: () => DIGEST_INTERVAL_MS,
      steps,
    });
  }

  /** Sends changes of the shared state to the linked entries without waiting for the next digest. */
  pushChanges(): void {
    if (this.#cancelPush !== undefined) return;
    this.#cancelPush = this.#options.clock.schedule(PUSH_DELAY_MS, () => {
      this.#cancelPush = undefined;
      const changes = this.#changes;
      this.#links.addresses
        .filter((address) => {
          const sent = this.#sentChanges.get(address) ?? NO_CHANGES;
          return SHARED_KINDS.some((kind) => sent[kind] < changes[kind]);
        })
        .forEach((address) => this.#sendDigest(address));
    });
  }

  /** Stops gossip and closes all links. */
  close(): void {
    this.#cancelDigest?.();
    this.#cancelPush?.();
    this.#links.closeAll();
  }

  /** Links to the first entries in rendezvous order, and to the seeds while too few are known. */
  #updateLinks(): void {
    const { address, clock, readers } = this.#options;
    const now = clock.now();
    this.#members.forEach((lastSeenAt, member) => {
      if (now - lastSeenAt <= MEMBER_TIMEOUT_MS) return;
      this.#members.delete(member);
      this.#capacities.delete(member);
    });
    readers?.noteMembers(this.#members);
    const chosen = chooseLinks(address, this.members, TARGET_PEER_LINKS, readers);
    const seeds =
      chosen.length < TARGET_PEER_LINKS ? this.#seeds.filter((seed) => seed !== address) : [];
    const wanted = new Set([...chosen, ...seeds]);
    runAll(wanted, (each) => this.#links.open(each));
    this.#links.addresses
      .filter((each) => !wanted.has(each))
      .forEach((each) => this.#links.close(each));
  }

  /** Sends a digest on an own link. */
  #sendDigest(address: string): void {
    if (!this.#links.isOpen(address)) return;
    this.#links.send(address, this.#digest(this.#sentChanges.get(address) ?? NO_CHANGES));
    this.#sentChanges.set(address, this.#changes);
  }

  /** Numbers of the latest changes of the shared state. */
  get #changes(): SharedChanges {
    const { quarantine, requests, limits, notices } = this.#options.shared;
    return {
      quarantine: quarantine.change,
      requests: requests.change,
      limits: limits.change,
      notices: notices.change,
    };
  }

  /**
   * Encodes a digest, with what changed in the shared state since the changes that the receiver knows.
   *
   * @param probe Number that the receiver has sent, to be returned with a proof of freshness.
   */
  #digest(known: SharedChanges, probe?: number): Uint8Array {
    const { address, mirrors, clock, shared, readers } = this.#options;
    const now = clock.now();
    const members = readers?.orderForDigest(this.members) ?? this.members;
    return encodePeerMessage({
      kind: 'digest',
      address,
      lagMs: this.#options.lagMs(),
      members: members.map((member) => [member, now - (this.#members.get(member) ?? now)] as const),
      capacities: [address, ...members].map((member) => this.capacityOf(member)),
      asOf: Object.fromEntries([...mirrors].map(([prefix, mirror]) => [prefix, mirror.asOf])),
      inflates: true,
      quarantine: shared.quarantine.updateSince(known.quarantine, now),
      requests: shared.requests.updateSince(known.requests, now),
      limits: shared.limits.updateSince(known.limits, now),
      notices: shared.notices.updateSince(known.notices, now),
      ...readers?.digestFields(members, probe),
    });
  }

  #receive(bytes: Uint8Array, origin: MessageOrigin): void {
    const message = decodePeerMessage(bytes);
    if (message === undefined) {
      this.#options.log('messageUnreadable', { from: 'an entry', bytes: bytes.length });
      return;
    }
    const { services, readers } = this.#options;
    const { send: reply, sentNews: sent } = origin;
    switch (message.kind) {
      case 'digest':
        this.#receiveDigest(message, origin);
        return;
      case 'news':
        this.#news.receive(message);
        return;
      case 'permit-request':
        services.permits.handleRequest(message, reply);
        return;
      case 'lease-request':
        services.leases.handleRequest(message, reply);
        return;
      case 'stream-origins':
      case 'origins':
      case 'origin-query':
        services.origins.handleMessage(message, reply);
        return;
      case 'told':
        readers?.noteTold(message, reply);
        return;
      case 'want':
        this.#news.send({ ...message, sent, send: reply });
        return;
      case 'proof':
        readers?.noteProof(message);
        return;
      default:
        this.#options.log('messageUnreadable', { from: 'an entry', bytes: bytes.length });
    }
  }

  #receiveDigest(
    message: DigestMessage,
    { send, sentNews: sent, sendDigest }: MessageOrigin,
  ): void {
    const { address, clock } = this.#options;
    const now = clock.now();
    this.#members.set(message.address, now);
    this.#lags.set(message.address, { lagMs: message.lagMs, at: now });
    message.members.forEach(([member, ageMs]) => {
      const lastSeenAt = this.#members.get(member) ?? -Infinity;
      if (member !== address && ageMs < MEMBER_TIMEOUT_MS) {
        this.#members.set(member, Math.max(lastSeenAt, now - ageMs));
      }
    });
    this.#noteCapacities(message);
    this.#maxKnownEntries = Math.max(this.#maxKnownEntries ?? 0, this.#members.size + 1);
    this.#news.send({ ...message, sent, send });
    SHARED_KINDS.forEach((kind) => this.#applyShared(kind, message[kind], now));
    this.#options.readers?.noteDigest(message, send, sendDigest !== undefined);
    sendDigest?.(message.probe);
  }

  #noteCapacities({ address, members, capacities = [] }: DigestMessage): void {
    [address, ...members.map(([member]) => member)].forEach((member, index) => {
      const capacity = capacities[index] ?? 0;
      const isOther = member !== this.#options.address && this.#members.has(member);
      if (capacity > 0 && isOther) this.#capacities.set(member, capacity);
    });
  }

  #applyShared<Kind extends SharedKind>(
    kind: Kind,
    update: DigestMessage[Kind],
    now: Milliseconds,
  ): void {
    if (update !== undefined) this.#options.shared[kind].applyUpdate(update, now);
  }
}
