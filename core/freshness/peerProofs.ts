import type { Milliseconds } from '../clock/mod.ts';
import { eraOf } from '../mirror/mod.ts';
import type { ConfigurationAge } from './configurationAge.ts';

/** What a peer says of one mirror: the age of its proof, and the revision that the proof is about. */
export type ProofOfPrefix = { readonly ageMs: Milliseconds; readonly asOf: number };

/** What a peer returns for a number that it was sent. */
export type PeerProof = {
  /** The number that was sent. */
  readonly number: number;
  /** Proofs by key prefix; prefixes of which the peer proves nothing are absent. */
  readonly prefixes: Readonly<Record<string, ProofOfPrefix>>;
};

/** A mirror whose age is proven. */
export type ProvenMirror = {
  readonly age: ConfigurationAge;
  /** Returns the revision of the mirror; `undefined` before its first update. */
  readonly asOf: () => number | undefined;
};

/** Time after which the answer to a number is not accepted any more; bounds what is remembered. */
const MAX_ROUND_TRIP_MS: Milliseconds = 10_000;

/** Most proofs of one prefix that wait for the mirror. */
const MAX_WAITING_PROOFS = 16;

type WaitingProof = { readonly at: Milliseconds; readonly asOf: number };

/**
 * Proofs of freshness that peers supply, by a round trip on this process's clock.
 *
 * This process sends a number; the peer returns it with the age of its own proof. The proof dates from the
 * time of sending the number minus that age. The peer took its age after the number was sent, so delays,
 * pauses of either process, lost and reordered replies can only make the proof look older than it is.
 * Clocks of different processes are never compared.
 */
export class PeerProofs {
  readonly #mirrors: ReadonlyMap<string, ProvenMirror>;

  readonly #sentAt = new Map<number, Milliseconds>();

  readonly #waiting = new Map<string, readonly WaitingProof[]>();

  #lastNumber = 0;

  /** @param mirrors The mirrors, by key prefix. */
  constructor(mirrors: ReadonlyMap<string, ProvenMirror>) {
    this.#mirrors = mirrors;
  }

  /** Returns a number to send to a peer; call it before the message is sent. */
  nextNumber(now: Milliseconds): number {
    this.#lastNumber += 1;
    this.#sentAt.set(this.#lastNumber, now);
    for (const [number, sentAt] of this.#sentAt) {
      if (now - sentAt <= MAX_ROUND_TRIP_MS) break;
      this.#sentAt.delete(number);
    }
    return this.#lastNumber;
  }

  /** Returns what this process proves to a peer that sent a number. */
  proofFor(number: number, now: Milliseconds): PeerProof {
    const prefixes = [...this.#mirrors].flatMap(([prefix, { age, asOf }]) => {
      const ageMs = age.ageMs(now);
      const revision = asOf();
      if (revision === undefined || !Number.isFinite(ageMs)) return [];
      return [[prefix, { ageMs, asOf: revision }] as const];
    });
    return { number, prefixes: Object.fromEntries(prefixes) };
  }

  /** Records the proof of a peer. It counts once the mirror stands at the revision that the peer named. */
  noteProof(proof: PeerProof, now: Milliseconds): void {
    const sentAt = this.#sentAt.get(proof.number);
    this.#sentAt.delete(proof.number);
    if (sentAt === undefined || now - sentAt > MAX_ROUND_TRIP_MS) return;
    this.#mirrors.forEach((_mirror, prefix) => {
      const told = proof.prefixes[prefix];
      if (told === undefined) return;
      const waiting = [
        ...(this.#waiting.get(prefix) ?? []),
        { at: sentAt - told.ageMs, asOf: told.asOf },
      ];
      this.#waiting.set(prefix, waiting.slice(-MAX_WAITING_PROOFS));
    });
    this.noteMirrors();
  }

  /** Counts the proofs that waited for a revision which a mirror has now reached. */
  noteMirrors(): void {
    this.#waiting.forEach((waiting, prefix) => {
      const mirror = this.#mirrors.get(prefix);
      const revision = mirror?.asOf();
      if (mirror === undefined || revision === undefined) return;
      // In another era the store may have lost what the peer had read.
      waiting
        .filter(({ asOf }) => asOf <= revision && eraOf(asOf) === eraOf(revision))
        .forEach(({ at }) => mirror.age.noteConfirmed(at));
      const later = waiting.filter(({ asOf }) => asOf > revision);
      if (later.length === 0) this.#waiting.delete(prefix);
      else this.#waiting.set(prefix, later);
    });
  }
}
