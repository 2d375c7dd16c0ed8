import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { MirrorNews, RecordMirror } from '../../core/mirror/mod.ts';
import { rendezvousOrder } from '../../core/placement/mod.ts';
import type { Log } from '../../log/mod.ts';
import { LiveLinks } from '../links/mod.ts';
import type { Accept, Dial } from '../ports/mod.ts';
import { decodePeerMessage, encodePeerMessage } from './_peerMessages.ts';

/** The copies that entries compare, by what their keys begin with. */
export type Mirrors = ReadonlyMap<string, RecordMirror>;

/** How to build a `PeerTask`. */
export type PeerTaskOptions = {
  /** Where other entries reach this one. */
  readonly address: string;
  /** Addresses of entries that may be there at the start. */
  readonly seeds: readonly string[];
  readonly mirrors: Mirrors;
  readonly clock: Clock;
  readonly dial: Dial;
  readonly log: Log;
  /** How far this process is behind its timers. */
  readonly lagMs: () => Milliseconds;
  /** Told of news that a peer has and the own copy lacks. */
  readonly tell: (prefix: string, news: MirrorNews) => void;
};

/** Entries to which one entry keeps links; enough that all hear of a change within a few periods. */
const LINKED_PEERS = 4;

/** Time between digests. */
const DIGEST_MS: Milliseconds = 400;

/** Time for which the word of another entry on its own lag counts. */
const FRESH_LAG_MS: Milliseconds = 2000;

/** Time after which an entry that was not heard of is forgotten. */
const FORGET_MS: Milliseconds = 20_000;

/**
 * Gossip between entries: who there is, and whose copy of the store's records is the newest.
 *
 * An entry that the store turns away, or that starts while the store is down, so learns the
 * configuration and the servers from the others.
 */
export class PeerTask {
  readonly #options: PeerTaskOptions;

  readonly #links: LiveLinks;

  /** When each entry was last heard of. */
  readonly #members = new Map<string, Milliseconds>();

  /** How far other entries are behind their timers, with the time at which each said so. */
  readonly #lags = new Map<string, { readonly lagMs: Milliseconds; readonly at: Milliseconds }>();

  #seeds: readonly string[];

  #mostEntries: number | undefined;

  #cancel: (() => void) | undefined;

  constructor(options: PeerTaskOptions) {
    this.#options = options;
    this.#seeds = options.seeds;
    this.#links = new LiveLinks({
      clock: options.clock,
      dial: options.dial,
      opened: (address) => this.#links.send(address, this.#digest()),
      received: (address, bytes) =>
        this.#receive(bytes, (answer) => this.#links.send(address, answer)),
      lost: (address, reason) => options.log('peerLost', { address, reason }),
    });
  }

  /** Entries that are known, this one not counted. */
  get members(): readonly string[] {
    return [...this.#members.keys()];
  }

  /** How far other entries are behind their timers, of those that said so of late. */
  get lagsMs(): readonly Milliseconds[] {
    const now = this.#options.clock.now();
    this.#lags.forEach(({ at }, member) => {
      if (now - at > FRESH_LAG_MS) this.#lags.delete(member);
    });
    return [...this.#lags.values()].map(({ lagMs }) => lagMs);
  }

  /** The most entries that were ever known, this one counted; `undefined` before any other was. */
  get mostEntries(): number | undefined {
    return this.#mostEntries;
  }

  /** Accepts links of other entries. */
  readonly accept: Accept = (connection) => ({
    opened: () => undefined,
    received: (bytes) => this.#receive(bytes, (answer) => connection.send(answer), true),
    closed: () => undefined,
  });

  /** Puts other seeds in force. */
  applySeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** Begins to gossip. */
  start(): void {
    this.#choose();
    this.#links.tick();
    const digest = this.#digest();
    this.#links.addresses.forEach((address) => this.#links.send(address, digest));
    this.#cancel = this.#options.clock.schedule(DIGEST_MS, () => this.start());
  }

  /** Ends all links. */
  close(): void {
    this.#cancel?.();
    this.#links.closeAll();
  }

  /** Links to the entries that come first for this one; to the seeds while too few are known. */
  #choose(): void {
    const { address, clock } = this.#options;
    const now = clock.now();
    this.#members.forEach((heardAt, member) => {
      if (now - heardAt > FORGET_MS) this.#members.delete(member);
    });
    const chosen = rendezvousOrder(address, [...this.#members.keys()]).slice(0, LINKED_PEERS);
    const others =
      chosen.length < LINKED_PEERS ? this.#seeds.filter((seed) => seed !== address) : [];
    const wanted = new Set([...chosen, ...others]);
    wanted.forEach((each) => this.#links.open(each));
    this.#links.addresses
      .filter((each) => !wanted.has(each))
      .forEach((each) => this.#links.close(each));
  }

  #digest(): Uint8Array {
    const { address, mirrors, clock } = this.#options;
    const now = clock.now();
    return encodePeerMessage({
      kind: 'digest',
      address,
      lagMs: this.#options.lagMs(),
      members: [...this.#members].map(([member, heardAt]) => [member, now - heardAt] as const),
      asOf: Object.fromEntries([...mirrors].map(([prefix, mirror]) => [prefix, mirror.asOf])),
    });
  }

  /** Takes a message; `isAccepted` where the other end dialled and so waits for a word. */
  #receive(bytes: Uint8Array, answer: (bytes: Uint8Array) => void, isAccepted = false): void {
    const message = decodePeerMessage(bytes);
    if (message === undefined) {
      this.#options.log('messageUnreadable', { from: 'an entry', bytes: bytes.length });
      return;
    }
    if (message.kind === 'news') {
      const { since, records, asOf } = message.news;
      this.#options.tell(message.prefix, { since, records, asOf });
      return;
    }
    const { address, clock, mirrors } = this.#options;
    const now = clock.now();
    this.#members.set(message.address, now);
    this.#lags.set(message.address, { lagMs: message.lagMs, at: now });
    message.members.forEach(([member, ageMs]) => {
      const known = this.#members.get(member) ?? -Infinity;
      if (member !== address && ageMs < FORGET_MS) {
        this.#members.set(member, Math.max(known, now - ageMs));
      }
    });
    this.#mostEntries = Math.max(this.#mostEntries ?? 0, this.#members.size + 1);
    mirrors.forEach((mirror, prefix) => {
      const news = mirror.newsSince(message.asOf[prefix]);
      if (news !== undefined) answer(encodePeerMessage({ kind: 'news', prefix, news }));
    });
    if (isAccepted) answer(this.#digest());
  }
}
