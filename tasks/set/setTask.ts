import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { SetFrame } from '../../core/link/mod.ts';
import { HEAD_NAME, OBJECT_KINDS, parseHead, GenerationTracker } from '../../core/set/mod.ts';
import type {
  PublishedSet,
  ReadValue,
  KindScope,
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

/** An event that a link of the process reports. */
export type SetEvent =
  /** A peer reported the set that it has in force. */
  | { readonly kind: 'peer-set'; readonly peer: string; readonly set: SetStamp }
  /** A peer sent a set frame. */
  | { readonly kind: 'peer-frame'; readonly peer: string; readonly frame: SetFrame }
  /** The link to a peer was lost. */
  | { readonly kind: 'peer-gone'; readonly peer: string };

/** Options of a `SetTask`. */
export type SetTaskOptions = {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly log: Log;
  /** Called with each set that comes into force, in ascending order of generation. */
  readonly onSet: (set: PublishedSet) => void;
  /** Sends a frame to a peer. @default drops the frame */
  readonly send?: (peer: string, frame: SetFrame) => void;
  /** Returns whether this process watches the service rather than polling it. @default always */
  readonly isWatcher?: () => boolean;
  /** Whether to forward a peer's reads of values that are not held here. @default false */
  readonly forwardsReads?: boolean;
  /** The kinds of objects that this process holds. @default all */
  readonly scope?: KindScope;
  /** Returns a random number from 0 to 1, for jitter. @default Math.random */
  readonly random?: () => number;
  /** Delay before retrying a failed read; backoff starts from it. @default 1000 */
  readonly retryMs?: Milliseconds;
  /** Mean delay of the first read, so that peers can deliver the set first. @default 0 */
  readonly startSpreadMs?: Milliseconds;
  /** Mean interval between polls of a process that does not watch. @default 300000 */
  readonly pollMs?: Milliseconds;
};

/** Status of a `SetTask`. */
export type SetStatus = SetStamp & {
  /** Different sets with the same generation, until a higher generation is in force. */
  readonly conflict: SetConflict | undefined;
};

/** Interval at which a process checks whether it has become a watcher or must poll. */
const WATCHER_CHECK_MS: Milliseconds = 1000;

/** Interval at which a conflict is sent to a peer again. */
const CONFLICT_RESEND_MS: Milliseconds = 10_000;

/** Number of doublings after which the backoff delay stops growing. */
const MAX_BACKOFF_DOUBLINGS = 16;

/** Puts the newest set of the configuration service or a peer into force; never rolls back. */
export class SetTask {
  readonly #options: Required<SetTaskOptions>;

  readonly #tracker = new GenerationTracker();

  readonly #store: SetStore;

  readonly #peerReads: PeerReads;

  readonly #peerStamps = new Map<string, SetStamp>();

  /** Peers from which a set could not be read, with the time until which they are skipped. */
  readonly #skippedUntil = new Map<string, Milliseconds>();

  #isReadingPeer = false;

  #nextPollAt: Milliseconds = 0;

  #consecutiveFailures = 0;

  #loggedConflictGeneration = 0;

  /** Time from which the conflict may be sent to each peer again. */
  readonly #nextConflictSendAt = new Map<string, Milliseconds>();

  #stopped = false;

  constructor(options: SetTaskOptions) {
    this.#options = {
      send: () => undefined,
      isWatcher: () => true,
      forwardsReads: false,
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

  /** Starts reading the configuration service. */
  start(): void {
    const { random, startSpreadMs } = this.#options;
    if (startSpreadMs > 0) this.#readServiceAfter(startSpreadMs * (0.5 + random()), '');
    else this.#readService('').catch(() => undefined);
  }

  /** Stops reading, and ignores later events. */
  stop(): void {
    this.#stopped = true;
  }

  /** Handles an event from the links. */
  handleEvent(event: SetEvent): void {
    if (!this.#stopped) dispatch(this.#handlers, event);
  }

  /** Returns the set in force and the conflict, if any. */
  status(): SetStatus {
    return { ...this.#tracker.inForce, conflict: this.#tracker.conflict };
  }

  readonly #handlers: Handlers<SetEvent, void> = {
    'peer-set': ({ peer, set }) => {
      this.#peerStamps.set(peer, set);
      if (set.generation > 0) this.#observeStamp(set);
      this.#sendConflict(peer);
      this.#readNewestPeer();
    },
    'peer-frame': ({ peer, frame }) => this.#handleFrame(peer, frame),
    'peer-gone': ({ peer }) => {
      this.#peerStamps.delete(peer);
      this.#skippedUntil.delete(peer);
      this.#peerReads.disconnected(peer);
    },
  };

  /** Reads the head once it differs from a revision; an empty revision reads it immediately. */
  async #readService(revision: string): Promise<void> {
    const { configuration, log, pollMs, random, retryMs } = this.#options;
    if (this.#stopped) return;
    try {
      const value =
        revision === ''
          ? await configuration.read(HEAD_NAME)
          : await configuration.watch(HEAD_NAME, revision);
      const readValue: ReadValue = async (name) => (await configuration.read(name))?.text;
      const upToDate = value !== undefined && (await this.#processHead(value.text, readValue));
      this.#consecutiveFailures = upToDate ? 0 : this.#consecutiveFailures + 1;
      this.#nextPollAt = this.#options.clock.now() + pollMs * (0.5 + random());
      this.#readServiceAfter(
        upToDate ? 0 : this.#backoffDelay(retryMs),
        upToDate ? value.revision : '',
      );
    } catch (error) {
      if (this.#stopped) return;
      log('configurationDown', { detail: String(error) });
      this.#consecutiveFailures += 1;
      this.#readServiceAfter(this.#backoffDelay(retryMs), '');
    }
  }

  /**
   * Returns the retry delay: fixed for watchers, otherwise exponential with jitter.
   *
   * Makes a process that polls retry after that delay instead of at its next poll.
   */
  #backoffDelay(retryMs: Milliseconds): Milliseconds {
    const { isWatcher, pollMs, random } = this.#options;
    if (isWatcher()) return retryMs;
    const delay = Math.min(
      pollMs,
      retryMs * 2 ** Math.min(this.#consecutiveFailures - 1, MAX_BACKOFF_DOUBLINGS),
    );
    this.#nextPollAt = 0;
    return delay * (0.5 + random());
  }

  #readServiceAfter(delay: Milliseconds, revision: string): void {
    const { clock, isWatcher } = this.#options;
    clock.schedule(delay, () => {
      if (this.#stopped) return;
      if (isWatcher() || clock.now() >= this.#nextPollAt) {
        this.#readService(isWatcher() ? revision : '').catch(() => undefined);
        return;
      }
      this.#readServiceAfter(WATCHER_CHECK_MS, revision);
    });
  }

  /** Puts the set of a head into force if it is newer; returns false if it is unreadable. */
  async #processHead(text: string, readValue: ReadValue): Promise<boolean> {
    const head = parseHead(text);
    if ('kind' in head) {
      this.#options.log('setUnreadable', { detail: head.detail });
      return false;
    }
    return this.#observeStamp(head) !== 'newer' || this.#readAndActivate(head, readValue);
  }

  async #readAndActivate(head: SetHead, readValue: ReadValue): Promise<boolean> {
    const unpacked = await this.#store.read(head, readValue);
    if (unpacked.kind === 'unreadable') {
      this.#options.log('setUnreadable', { detail: unpacked.detail });
      return false;
    }
    if (this.#stopped || !this.#tracker.activate(head)) return true;
    const set = this.#store.activate(unpacked);
    this.#options.log('setTaken', { generation: set.generation, digest: set.digest });
    this.#options.onSet(set);
    return true;
  }

  #observeStamp(stamp: SetStamp): ReturnType<GenerationTracker['observe']> {
    const status = this.#tracker.observe(stamp);
    const { conflict } = this.#tracker;
    if (conflict !== undefined && conflict.generation !== this.#loggedConflictGeneration) {
      this.#loggedConflictGeneration = conflict.generation;
      this.#nextConflictSendAt.clear();
      this.#options.log('setConflict', {
        generation: conflict.generation,
        digests: conflict.digests.join(', '),
      });
    }
    return status;
  }

  /** Reads the newest set that any peer has, from one peer at a time. */
  #readNewestPeer(): void {
    const peer = this.#newestPeer();
    if (this.#isReadingPeer || peer === undefined) return;
    this.#isReadingPeer = true;
    this.#readPeer(peer)
      .catch(() => {
        this.#peerStamps.delete(peer);
        return false;
      })
      .then((activated) => {
        this.#isReadingPeer = false;
        if (!activated) this.#retryPeerLater(peer);
        if (!this.#stopped) this.#readNewestPeer();
      })
      .catch((error: unknown) => this.#options.log('internalError', { detail: String(error) }));
  }

  /** Returns whether a newer set of the peer came into force. */
  async #readPeer(peer: string): Promise<boolean> {
    const readValue: ReadValue = (name) => this.#peerReads.read(peer, name);
    const text = await readValue(HEAD_NAME);
    if (text === undefined) return false;
    const before = this.#tracker.inForce.generation;
    return (await this.#processHead(text, readValue)) && this.#tracker.inForce.generation > before;
  }

  /** Skips a peer for the retry delay, then reads from peers again. */
  #retryPeerLater(peer: string): void {
    const { clock, retryMs } = this.#options;
    this.#skippedUntil.set(peer, clock.now() + retryMs);
    clock.schedule(retryMs, () => {
      if (!this.#stopped) this.#readNewestPeer();
    });
  }

  #newestPeer(): string | undefined {
    const now = this.#options.clock.now();
    const { inForce, conflict } = this.#tracker;
    const newer = [...this.#peerStamps].filter(
      ([peer, { generation }]) =>
        generation > inForce.generation &&
        generation !== conflict?.generation &&
        (this.#skippedUntil.get(peer) ?? 0) <= now,
    );
    return newer.sort(([, a], [, b]) => b.generation - a.generation)[0]?.[0];
  }

  /** Sends the conflict to a peer; repeats it at intervals, as the peer may have restarted. */
  #sendConflict(peer: string): void {
    const { conflict } = this.#tracker;
    const now = this.#options.clock.now();
    if (conflict === undefined || now < (this.#nextConflictSendAt.get(peer) ?? 0)) return;
    this.#nextConflictSendAt.set(peer, now + CONFLICT_RESEND_MS);
    this.#options.send(peer, { kind: 'set-conflict', ...conflict });
  }

  readonly #frameHandlers: {
    readonly [K in SetFrame['kind']]: (peer: string, frame: Extract<SetFrame, { kind: K }>) => void;
  } = {
    'set-read': (peer, { name }) => this.#answerRead(peer, name),
    'set-value': (peer, { name, text }) => this.#peerReads.complete(peer, name, text ?? undefined),
    'set-conflict': (_peer, { generation, digests }) =>
      digests.forEach((digest) => this.#observeStamp({ generation, digest })),
  };

  #handleFrame(peer: string, frame: SetFrame): void {
    const handler = this.#frameHandlers[frame.kind] as (peer: string, each: SetFrame) => void;
    handler(peer, frame);
  }

  #answerRead(peer: string, name: string): void {
    const held = this.#store.findValue(name);
    const forwardTo = held === undefined ? this.#forwardTarget(peer) : undefined;
    if (forwardTo === undefined) {
      this.#sendValue(peer, name, held);
      return;
    }
    this.#peerReads
      .read(forwardTo, name)
      .catch(() => {
        this.#peerStamps.delete(forwardTo);
        return undefined;
      })
      .then((text) => this.#sendValue(peer, name, text))
      .catch((error: unknown) => this.#options.log('internalError', { detail: String(error) }));
  }

  #sendValue(peer: string, name: string, text: string | undefined): void {
    this.#options.send(peer, { kind: 'set-value', name, text: text ?? null });
  }

  /** Returns the peer with the newest set, to which a read from another peer is forwarded. */
  #forwardTarget(requester: string): string | undefined {
    if (!this.#options.forwardsReads) return undefined;
    const candidates = [...this.#peerStamps].filter(
      ([peer, { generation }]) =>
        peer !== requester && generation >= this.#tracker.inForce.generation,
    );
    return candidates.sort(([, a], [, b]) => b.generation - a.generation)[0]?.[0];
  }
}
