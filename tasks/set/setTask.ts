import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { SetFrame } from '../../core/link/mod.ts';
import { HEAD_NAME, OBJECT_KINDS, parseHead, SetAcceptance } from '../../core/set/mod.ts';
import type {
  PublishedSet,
  ReadValue,
  Scope,
  SetConflict,
  SetHead,
  SetStamp,
} from '../../core/set/mod.ts';
import type { Log } from '../../log/mod.ts';
import { dispatch } from '../_handlers.ts';
import type { Handlers } from '../_handlers.ts';
import type { Configuration } from '../ports/mod.ts';
import { PeerReads } from './_peerReads.ts';
import { SetStore } from './_setStore.ts';

/** What the owner of links tells a `SetTask`. */
export type SetNews =
  /** A peer has a set in force. */
  | { readonly kind: 'peer-set'; readonly peer: string; readonly set: SetStamp }
  | { readonly kind: 'peer-frame'; readonly peer: string; readonly frame: SetFrame }
  | { readonly kind: 'peer-gone'; readonly peer: string };

/** How to build a `SetTask`. */
export type SetTaskOptions = {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly log: Log;
  /** Told of each set that comes into force, in rising order of generation. */
  readonly onSet: (set: PublishedSet) => void;
  /** Sends a frame to a peer. @default drops it */
  readonly send?: (peer: string, frame: SetFrame) => void;
  /** Tells whether this process watches the configuration service. @default always */
  readonly isWatcher?: () => boolean;
  /** Whether values that are not held here are asked of other peers. @default false */
  readonly forwards?: boolean;
  /** The kinds of objects that this process needs. @default all */
  readonly scope?: Scope;
  /** Returns a number from 0 to 1, which spreads readings over time. @default Math.random */
  readonly random?: () => number;
  /** Pause after the configuration service failed. @default 1000 */
  readonly retryMs?: Milliseconds;
  /** Mean time for which a process waits for its peers before its first reading. @default 0 */
  readonly startSpreadMs?: Milliseconds;
  /** Time between readings of a process that does not watch. @default 300000 */
  readonly pollMs?: Milliseconds;
};

/** What a `SetTask` tells of itself. */
export type SetStatus = SetStamp & {
  /** Two sets of one generation, until a higher generation is in force. */
  readonly conflict: SetConflict | undefined;
};

/** Time after which a process looks again whether it has become a watcher. */
const WATCHER_CHECK_MS: Milliseconds = 1000;

/** Time after which a peer is told of a conflict again. */
const CONFLICT_REMINDER_MS: Milliseconds = 10_000;

/** Doublings of the pause after which it grows no more. */
const MOST_DOUBLINGS = 16;

/** Takes each higher generation from the configuration service or a peer and never goes back. */
export class SetTask {
  readonly #options: Required<SetTaskOptions>;

  readonly #acceptance = new SetAcceptance();

  readonly #store: SetStore;

  readonly #peerReads: PeerReads;

  readonly #peers = new Map<string, SetStamp>();

  /** Peers whose set could not be read, with the time until which they are not asked. */
  readonly #failedUntil = new Map<string, Milliseconds>();

  #isReadingPeer = false;

  #nextPoll: Milliseconds = 0;

  #failures = 0;

  #loggedConflict = 0;

  /** When each peer was last told of the conflict. */
  readonly #toldConflict = new Map<string, Milliseconds>();

  #stopped = false;

  constructor(options: SetTaskOptions) {
    this.#options = {
      send: () => undefined,
      isWatcher: () => true,
      forwards: false,
      scope: new Set(OBJECT_KINDS),
      random: Math.random,
      retryMs: 1000,
      startSpreadMs: 0,
      pollMs: 300_000,
      ...options,
    };
    this.#store = new SetStore(this.#options.scope);
    this.#peerReads = new PeerReads(this.#options);
  }

  /** Starts to read and watch. */
  start(): void {
    const { random, startSpreadMs } = this.#options;
    if (startSpreadMs > 0) this.#readServiceAfter(startSpreadMs * (0.5 + random()), '');
    else this.#readService('').catch(() => undefined);
  }

  /** Stops watching. */
  stop(): void {
    this.#stopped = true;
  }

  /** Takes news from the links. */
  hear(news: SetNews): void {
    if (!this.#stopped) dispatch(this.#handlers, news);
  }

  /** Returns a snapshot for operators. */
  status(): SetStatus {
    return { ...this.#acceptance.inForce, conflict: this.#acceptance.conflict };
  }

  readonly #handlers: Handlers<SetNews, void> = {
    'peer-set': ({ peer, set }) => {
      this.#peers.set(peer, set);
      if (set.generation > 0) this.#judge(set);
      this.#tellConflict(peer);
      this.#readPeers();
    },
    'peer-frame': ({ peer, frame }) => this.#takeFrame(peer, frame),
    'peer-gone': ({ peer }) => {
      this.#peers.delete(peer);
      this.#failedUntil.delete(peer);
      this.#peerReads.gone(peer);
    },
  };

  async #readService(revision: string): Promise<void> {
    const { configuration, log, pollMs, random, retryMs } = this.#options;
    if (this.#stopped) return;
    try {
      const value =
        revision === ''
          ? await configuration.read(HEAD_NAME)
          : await configuration.watch(HEAD_NAME, revision);
      const source: ReadValue = async (name) => (await configuration.read(name))?.text;
      const taken = value !== undefined && (await this.#takeHead(value.text, source));
      this.#failures = taken ? 0 : this.#failures + 1;
      this.#nextPoll = this.#options.clock.now() + pollMs * (0.5 + random());
      this.#readServiceAfter(taken ? 0 : this.#backoff(retryMs), taken ? value.revision : '');
    } catch (error) {
      if (this.#stopped) return;
      log('configurationDown', { detail: String(error) });
      this.#failures += 1;
      this.#readServiceAfter(this.#backoff(retryMs), '');
    }
  }

  /** Watchers try again after a fixed pause, all others after growing, spread ones. */
  #backoff(retryMs: Milliseconds): Milliseconds {
    const { isWatcher, pollMs, random } = this.#options;
    if (isWatcher()) return retryMs;
    const grown = Math.min(pollMs, retryMs * 2 ** Math.min(this.#failures - 1, MOST_DOUBLINGS));
    this.#nextPoll = 0;
    return grown * (0.5 + random());
  }

  #readServiceAfter(pause: Milliseconds, revision: string): void {
    const { clock, isWatcher } = this.#options;
    clock.schedule(pause, () => {
      if (this.#stopped) return;
      if (isWatcher() || clock.now() >= this.#nextPoll) {
        this.#readService(isWatcher() ? revision : '').catch(() => undefined);
        return;
      }
      this.#readServiceAfter(WATCHER_CHECK_MS, revision);
    });
  }

  /** Takes a head if it is newer; returns false when it should be read again. */
  async #takeHead(text: string, source: ReadValue): Promise<boolean> {
    const head = parseHead(text);
    if ('kind' in head) {
      this.#options.log('setUnreadable', { detail: head.detail });
      return false;
    }
    return this.#judge(head) !== 'newer' || this.#readHead(head, source);
  }

  async #readHead(head: SetHead, source: ReadValue): Promise<boolean> {
    const read = await this.#store.read(head, source);
    if (read.kind === 'unreadable') {
      this.#options.log('setUnreadable', { detail: read.detail });
      return false;
    }
    if (this.#stopped || !this.#acceptance.take(head)) return true;
    const set = this.#store.take(read);
    this.#options.log('setTaken', { generation: set.generation, digest: set.digest });
    this.#options.onSet(set);
    return true;
  }

  #judge(stamp: SetStamp): ReturnType<SetAcceptance['hear']> {
    const verdict = this.#acceptance.hear(stamp);
    const { conflict } = this.#acceptance;
    if (conflict !== undefined && conflict.generation !== this.#loggedConflict) {
      this.#loggedConflict = conflict.generation;
      this.#toldConflict.clear();
      this.#options.log('setConflict', {
        generation: conflict.generation,
        digests: conflict.digests.join(', '),
      });
    }
    return verdict;
  }

  /** Reads the newest set that a peer has, one reading at a time. */
  #readPeers(): void {
    const peer = this.#newestPeer();
    if (this.#isReadingPeer || peer === undefined) return;
    this.#isReadingPeer = true;
    this.#readPeer(peer)
      .catch(() => {
        this.#peers.delete(peer);
        return false;
      })
      .then((taken) => {
        this.#isReadingPeer = false;
        if (!taken) this.#postpone(peer);
        if (!this.#stopped) this.#readPeers();
      })
      .catch((error: unknown) => this.#options.log('internalError', { detail: String(error) }));
  }

  async #readPeer(peer: string): Promise<boolean> {
    const source: ReadValue = (name) => this.#peerReads.read(peer, name);
    const text = await source(HEAD_NAME);
    if (text === undefined) return false;
    const before = this.#acceptance.inForce.generation;
    return (await this.#takeHead(text, source)) && this.#acceptance.inForce.generation > before;
  }

  /** Leaves a peer out for a while, then looks at it again. */
  #postpone(peer: string): void {
    const { clock, retryMs } = this.#options;
    this.#failedUntil.set(peer, clock.now() + retryMs);
    clock.schedule(retryMs, () => {
      if (!this.#stopped) this.#readPeers();
    });
  }

  #newestPeer(): string | undefined {
    const now = this.#options.clock.now();
    const { inForce, conflict } = this.#acceptance;
    const newer = [...this.#peers].filter(
      ([peer, { generation }]) =>
        generation > inForce.generation &&
        generation !== conflict?.generation &&
        (this.#failedUntil.get(peer) ?? 0) <= now,
    );
    return newer.sort(([, a], [, b]) => b.generation - a.generation)[0]?.[0];
  }

  /** Tells a peer of the conflict, from time to time in case it restarts. */
  #tellConflict(peer: string): void {
    const { conflict } = this.#acceptance;
    const now = this.#options.clock.now();
    if (conflict === undefined || now < (this.#toldConflict.get(peer) ?? 0)) return;
    this.#toldConflict.set(peer, now + CONFLICT_REMINDER_MS);
    this.#options.send(peer, { kind: 'set-conflict', ...conflict });
  }

  readonly #frameHandlers: {
    readonly [K in SetFrame['kind']]: (peer: string, frame: Extract<SetFrame, { kind: K }>) => void;
  } = {
    'set-read': (peer, { name }) => this.#serve(peer, name),
    'set-value': (peer, { name, text }) => this.#peerReads.answered(peer, name, text ?? undefined),
    'set-conflict': (_host, { generation, digests }) =>
      digests.forEach((digest) => this.#judge({ generation, digest })),
  };

  #takeFrame(peer: string, frame: SetFrame): void {
    const handler = this.#frameHandlers[frame.kind] as (from: string, each: SetFrame) => void;
    handler(peer, frame);
  }

  #serve(peer: string, name: string): void {
    const held = this.#store.find(name);
    const forwardTo = held === undefined ? this.#forwardTarget(peer) : undefined;
    if (forwardTo === undefined) {
      this.#answer(peer, name, held);
      return;
    }
    this.#peerReads
      .read(forwardTo, name)
      .catch(() => {
        this.#peers.delete(forwardTo);
        return undefined;
      })
      .then((text) => this.#answer(peer, name, text))
      .catch((error: unknown) => this.#options.log('internalError', { detail: String(error) }));
  }

  #answer(peer: string, name: string, text: string | undefined): void {
    this.#options.send(peer, { kind: 'set-value', name, text: text ?? null });
  }

  /** Returns the peer that most likely holds what another peer asks for. */
  #forwardTarget(asking: string): string | undefined {
    if (!this.#options.forwards) return undefined;
    const others = [...this.#peers].filter(
      ([peer, { generation }]) =>
        peer !== asking && generation >= this.#acceptance.inForce.generation,
    );
    return others.sort(([, a], [, b]) => b.generation - a.generation)[0]?.[0];
  }
}
