import type { Milliseconds } from '../clock/mod.ts';
import type { LimitRecord } from './limitRecord.ts';

/** The limit that a server named. */
export type ServerLimit = {
  readonly server: string;
  /** Requests a second that the server takes from all hosts together. */
  readonly perSecond: number;
  /** Whether the server has stopped naming it. */
  readonly isEnded: boolean;
};

/** Options of `LimitRegistry`. */
export type LimitRegistryOptions = {
  /** Called when a limit is named, changes or ends, here or at another process. */
  readonly onLimit: (limit: ServerLimit, source: 'own' | 'peer') => void;
  /** Called after each change that other processes should learn. */
  readonly onChange: () => void;
};

/** Time after the end of a limit during which it still holds, since a server may omit it once. */
const HOLD_MS: Milliseconds = 1000;

/** Time in which the rate doubles after that. */
const DOUBLING_MS: Milliseconds = 1000;

/** Time after the end of a limit from which on the rate is no longer bounded. */
const UNBOUNDED_AFTER_MS: Milliseconds = 6000;

/** Time since a server last named its limit after which it should be asked again. */
const CONFIRM_AFTER_MS: Milliseconds = 2000;

/** Difference of two times within which the processes' clocks do not tell which is later. */
const CLOCK_TOLERANCE_MS: Milliseconds = 250;

/** Time after which a limit that nobody has heard of again is forgotten. */
const MAX_AGE_MS: Milliseconds = 600_000;

/** Limits that are kept. */
const MAX_LIMITS = 1024;

type KnownLimit = {
  perSecond: number;
  isEnded: boolean;
  /** When the server last named the limit, or when it was first seen not to. */
  at: Milliseconds;
  change: number;
};

/** Whether a record says something else than what is known. */
function differs(a: Omit<KnownLimit, 'at' | 'change'>, b: KnownLimit): boolean {
  return a.isEnded !== b.isEnded || (!a.isEnded && a.perSecond !== b.perSecond);
}

/** Whether a limit lets through fewer requests than another. */
function isStricter(a: Omit<KnownLimit, 'change'>, b: KnownLimit): boolean {
  if (a.isEnded !== b.isEnded) return !a.isEnded;
  return a.perSecond < b.perSecond;
}

/**
 * The limits that servers name, as far as all processes have seen them.
 *
 * A limit holds until a response shows that the server no longer names it. A response counts for a
 * higher limit or none only if its request was sent after the last one that named the limit, since
 * responses overtake each other. After its end the rate grows gradually, so that the load does not come
 * back at once.
 */
export class LimitRegistry {
  readonly #options: LimitRegistryOptions;

  readonly #limits = new Map<string, KnownLimit>();

  /** Number of the latest change. */
  #change = 0;

  constructor(options: LimitRegistryOptions) {
    this.#options = options;
  }

  /** Number of the latest change; see `updateSince`. */
  get change(): number {
    return this.#change;
  }

  /** Number of servers that name a limit. */
  get size(): number {
    return [...this.#limits.values()].filter(({ isEnded }) => !isEnded).length;
  }

  /**
   * Records a response that names a limit.
   *
   * @param sentAt When the request was sent.
   */
  noteNamed(server: string, perSecond: number, sentAt: Milliseconds, now: Milliseconds): void {
    const known = this.#limits.get(server);
    const isNews = known === undefined || differs({ perSecond, isEnded: false }, known);
    const isRaised = known !== undefined && !known.isEnded && perSecond > known.perSecond;
    if (isRaised && sentAt <= known.at) return;
    if (isNews) this.#set(server, { perSecond, isEnded: false, at: now }, 'own');
    else known.at = now;
  }

  /** Records a response that names no limit. */
  noteUnnamed(server: string, sentAt: Milliseconds, now: Milliseconds): void {
    const known = this.#limits.get(server);
    if (known === undefined || known.isEnded || sentAt <= known.at) return;
    this.#set(server, { ...known, isEnded: true, at: now }, 'own');
  }

  /** Records that a server has started again: it has forgotten its need. */
  noteRestart(server: string, now: Milliseconds): void {
    this.noteUnnamed(server, Infinity, now);
  }

  /** Returns the requests a second that a server takes now; `undefined` without a limit. */
  rateOf(server: string, now: Milliseconds): number | undefined {
    const known = this.#limits.get(server);
    if (known === undefined) return undefined;
    const { perSecond, isEnded, at } = known;
    const sinceMs = now - at;
    if (!isEnded || sinceMs < HOLD_MS) return perSecond;
    if (sinceMs >= UNBOUNDED_AFTER_MS) return undefined;
    return perSecond * 2 ** ((sinceMs - HOLD_MS) / DOUBLING_MS);
  }

  /** Whether this process has not heard for some time that a server still names its limit. */
  isUnconfirmed(server: string, now: Milliseconds): boolean {
    const known = this.#limits.get(server);
    return known !== undefined && !known.isEnded && now - known.at > CONFIRM_AFTER_MS;
  }

  /** Returns what is known of one server, for a process that may not know it yet. */
  recordOf(server: string, now: Milliseconds): LimitRecord | undefined {
    const known = this.#limits.get(server);
    if (known === undefined) return undefined;
    const { perSecond, isEnded, at } = known;
    return { server, perSecond, isEnded, ageMs: now - at };
  }

  /** Returns what has changed after a change number, or `undefined` if nothing has. */
  updateSince(change: number, now: Milliseconds): readonly LimitRecord[] | undefined {
    if (change >= this.#change) return undefined;
    return [...this.#limits]
      .filter(([, limit]) => limit.change > change)
      .map(([server, { perSecond, isEnded, at }]) => ({
        server,
        perSecond,
        isEnded,
        ageMs: now - at,
      }));
  }

  /** Applies what another process has sent; the later record counts, or the stricter one of the same time. */
  applyUpdate(records: readonly LimitRecord[], now: Milliseconds): void {
    records.forEach(({ server, perSecond, isEnded, ageMs }) => {
      const received = { perSecond, isEnded, at: now - ageMs };
      const known = this.#limits.get(server);
      if (known === undefined) {
        if (ageMs < MAX_AGE_MS) this.#set(server, received, 'peer');
        return;
      }
      if (!differs(received, known)) return;
      const aheadMs = received.at - known.at;
      const isAccepted =
        Math.abs(aheadMs) > CLOCK_TOLERANCE_MS ? aheadMs > 0 : isStricter(received, known);
      if (isAccepted) this.#set(server, received, 'peer');
      else this.#announce(known);
    });
  }

  /** Forgets limits that nobody has heard of for long. */
  tick(now: Milliseconds): void {
    this.#limits.forEach(({ at }, server) => {
      if (now - at > MAX_AGE_MS) this.#limits.delete(server);
    });
  }

  /** Forgets a server that was removed. */
  forget(server: string): void {
    this.#limits.delete(server);
  }

  #set(server: string, limit: Omit<KnownLimit, 'change'>, source: 'own' | 'peer'): void {
    const known: KnownLimit = { ...limit, change: 0 };
    this.#limits.delete(server);
    this.#limits.set(server, known);
    const [oldest] = this.#limits.keys();
    if (oldest !== undefined && this.#limits.size > MAX_LIMITS) this.#limits.delete(oldest);
    this.#options.onLimit({ server, perSecond: limit.perSecond, isEnded: limit.isEnded }, source);
    this.#announce(known);
  }

  #announce(known: KnownLimit): void {
    this.#change += 1;
    known.change = this.#change;
    this.#options.onChange();
  }
}
