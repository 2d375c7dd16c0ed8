import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { NOTICE_INTERVAL_MS, PeerProofs, StoreReaders } from '../../core/freshness/mod.ts';
import type { ConfigurationAge, ReaderNotice } from '../../core/freshness/mod.ts';
import { rendezvousOrder } from '../../core/placement/mod.ts';
import type { Log } from '../../log/mod.ts';
import { repeatSteps } from '../_repeatSteps.ts';
import { encodePeerMessage } from './_peerMessages.ts';
import type {
  DigestMessage,
  PeerMessage,
  ProofMessage,
  Revisions,
  ToldMessage,
} from './_peerMessages.ts';
import type { Mirrors } from './peerTask.ts';

/** Options of `StoreReaderTask`. */
export type StoreReaderTaskOptions = {
  /** Address at which other entries reach this one. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly mirrors: Mirrors;
  /** Ages of the mirrors, by key prefix; one for each mirror. */
  readonly ages: ReadonlyMap<string, ConfigurationAge>;
  /** Whether a few entries read the store however few are known. */
  readonly isStrict: boolean;
  /** Whether the store has just answered all calls of this process. */
  readonly isStoreCurrent: () => boolean;
  /** Called when this entry starts or stops to read the store. */
  readonly onReader: (isReader: boolean) => void;
  /** Number of the first notice; must rise over restarts at the same address. @default 1 */
  readonly firstNumber?: number;
};

/** Number of known entries, this one included, from which only a few read the store. */
const MIN_ENTRIES = 48;

/** Number of links to the own availability zone; the remaining ones lead to others. */
const ZONE_LINKS = 3;

/** Time without a message after which a neighbour is not told anything. */
const NEIGHBOUR_SILENCE_MS: Milliseconds = 1500;

/** Time since an entry was last seen within which it counts when the next reader is chosen. */
const MATE_MAX_AGE_MS: Milliseconds = 4000;

/** Time after which changes are asked for again, of another neighbour. */
const WANT_TIMEOUT_MS: Milliseconds = 200;

/**
 * Age of a mirror above which this entry reads the store itself, although it hears a reader: peers tell it
 * less than it needs. Below the age up to which unknown keys are rejected (2,700 ms).
 */
const MAX_TOLD_AGE_MS: Milliseconds = 2300;

/** Interval of deciding who reads. */
const ROLE_INTERVAL_MS: Milliseconds = 50;

/** The same while every entry reads by itself. */
const INACTIVE_INTERVAL_MS: Milliseconds = 400;

/** An entry at the other end of a link, whichever of the two has opened it. */
type Neighbour = {
  readonly send: (bytes: Uint8Array) => void;
  readonly availabilityZone: string | undefined;
  readonly asOf: Revisions;
  readonly heardAt: Milliseconds;
};

/** Fields that this task adds to a digest. */
type DigestFields = Pick<DigestMessage, 'zone' | 'zones' | 'probe' | 'proof'>;

/**
 * Lets a few entries of each availability zone read the store and tell the others, and obtains proofs of
 * freshness from peers. While it is inactive, this entry reads by itself and sends nothing more than an
 * entry without this task.
 */
export class StoreReaderTask {
  readonly #options: StoreReaderTaskOptions;

  readonly #proofs: PeerProofs;

  readonly #readers: StoreReaders;

  readonly #neighbours = new Map<string, Neighbour>();

  /** Availability zones of other entries, by address. */
  readonly #zones = new Map<string, string>();

  /** When other entries were last seen. */
  #members: ReadonlyMap<string, Milliseconds> = new Map();

  #isReader = true;

  /** Whether the latest notice of this entry said that it reads. */
  #isTellingReads = false;

  #noticeAt: Milliseconds = -Infinity;

  #wanted: { readonly at: Milliseconds; readonly asOf: Revisions } | undefined;

  #cancelTick: (() => void) | undefined;

  constructor(options: StoreReaderTaskOptions) {
    this.#options = options;
    const { address, availabilityZone, mirrors, ages, firstNumber = 1 } = options;
    this.#proofs = new PeerProofs(
      new Map(
        [...mirrors].map(([prefix, mirror]) => [
          prefix,
          { age: ages.get(prefix)!, asOf: () => mirror.asOf },
        ]),
      ),
    );
    this.#readers = new StoreReaders({
      self: address,
      availabilityZone,
      firstNumber,
      mates: () => this.#mates(),
    });
  }

  /** Whether only a few entries read the store. */
  get isActive(): boolean {
    return this.#options.isStrict || this.#members.size + 1 >= MIN_ENTRIES;
  }

  /** Whether this entry reads the store. */
  get isReader(): boolean {
    return this.#isReader;
  }

  /** Starts to decide who reads, and to tell it. */
  start(): void {
    const { clock, log } = this.#options;
    this.#tick();
    this.#cancelTick = repeatSteps({
      task: 'store-readers',
      clock,
      log,
      intervalMs: () => (this.isActive ? ROLE_INTERVAL_MS : INACTIVE_INTERVAL_MS),
      steps: [() => this.#tick()],
    });
  }

  /** Stops deciding and telling. */
  close(): void {
    this.#cancelTick?.();
  }

  /** Records which other entries are known, and when each was last seen. */
  noteMembers(members: ReadonlyMap<string, Milliseconds>): void {
    this.#members = members;
    this.#zones.forEach((_zone, member) => {
      if (!members.has(member)) this.#zones.delete(member);
    });
  }

  /** Orders entries by preference for links: three of the own availability zone come first, then others. */
  orderForLinks(candidates: readonly string[]): readonly string[] {
    if (!this.isActive) return candidates;
    const isMate = (each: string): boolean =>
      this.#zones.get(each) === this.#options.availabilityZone;
    const mates = candidates.filter(isMate);
    const others = candidates.filter((each) => !isMate(each));
    return [
      ...mates.slice(0, ZONE_LINKS),
      ...others.slice(0, 1),
      ...mates.slice(ZONE_LINKS),
      ...others.slice(1),
    ];
  }

  /** Orders the members so that those of one availability zone follow each other, those without one last. */
  orderForDigest(members: readonly string[]): readonly string[] {
    if (!this.isActive) return members;
    return members.toSorted((a, b) => {
      const [zoneA, zoneB] = [this.#zones.get(a), this.#zones.get(b)];
      if (zoneA === zoneB) return 0;
      if (zoneA === undefined || zoneB === undefined) return zoneA === undefined ? 1 : -1;
      return zoneA < zoneB ? -1 : 1;
    });
  }

  /**
   * Returns what to add to a digest with these members, in this order.
   *
   * @param probe Number that the receiver has sent.
   */
  digestFields(members: readonly string[], probe: number | undefined): Partial<DigestFields> {
    const now = this.#options.clock.now();
    const proof = probe === undefined ? {} : { proof: this.#proofs.proofFor(probe, now) };
    if (!this.isActive) return proof;
    const zones: [string, number][] = [];
    members.forEach((member) => {
      const zone = this.#zones.get(member);
      if (zone === undefined) return;
      const last = zones.at(-1);
      if (last?.[0] === zone) last[1] += 1;
      else zones.push([zone, 1]);
    });
    const zone = this.#options.availabilityZone;
    return { ...proof, zone, zones, probe: this.#proofs.nextNumber(now) };
  }

  /** Handles the fields of a digest; `isReplied` if a digest will be sent in reply, with the proof. */
  noteDigest(message: DigestMessage, send: Neighbour['send'], isReplied: boolean): void {
    const now = this.#options.clock.now();
    const { address, zone, zones = [], members, asOf, probe, proof } = message;
    this.#neighbours.set(address, { send, availabilityZone: zone, asOf, heardAt: now });
    if (zone !== undefined) this.#zones.set(address, zone);
    let start = 0;
    zones.forEach(([each, count]) => {
      members.slice(start, start + count).forEach(([member]) => {
        if (this.#members.has(member)) this.#zones.set(member, each);
      });
      start += count;
    });
    if (proof !== undefined) this.#proofs.noteProof(proof, now);
    if (probe !== undefined && !isReplied) {
      send(encodePeerMessage({ kind: 'proof', proof: this.#proofs.proofFor(probe, now) }));
    }
    this.#askIfBehind(asOf, send);
  }

  /** Handles a proof. */
  noteProof({ proof }: ProofMessage): void {
    this.#proofs.noteProof(proof, this.#options.clock.now());
  }

  /** Handles what a neighbour tells of its mirrors and of the reader. */
  noteTold({ from, asOf, reader }: ToldMessage, send: Neighbour['send']): void {
    const now = this.#options.clock.now();
    const known = this.#neighbours.get(from);
    if (known !== undefined) this.#neighbours.set(from, { ...known, asOf, heardAt: now });
    this.#askIfBehind(asOf, send);
    if (reader === undefined || !this.isActive) return;
    if (!this.#readers.note(reader, now)) return;
    this.#tell(reader, from);
    this.#updateRole(now);
  }

  /**
   * Counts proofs that waited for the revision that a mirror has now.
   *
   * @param isChanged Whether records have changed; neighbours are then told at once.
   */
  noteUpdate(isChanged: boolean): void {
    this.#proofs.noteMirrors();
    if (!this.isActive || !isChanged) return;
    const message = this.#encodeTold(undefined);
    this.#zoneNeighbours
      .filter(([, { asOf }]) => this.#isAheadOf(asOf))
      .forEach(([, { send }]) => send(message));
  }

  #tick(): void {
    const { clock, isStoreCurrent } = this.#options;
    const now = clock.now();
    this.#updateRole(now);
    // An entry that reads although it hears a preceding reader tells nobody.
    if (!this.isActive || !this.#readers.isReader(now)) {
      this.#isTellingReads = false;
      return;
    }
    const isReading = isStoreCurrent();
    const isLost = this.#isTellingReads && !isReading;
    if (!isLost && (!isReading || now - this.#noticeAt < NOTICE_INTERVAL_MS)) return;
    this.#noticeAt = now;
    this.#isTellingReads = isReading;
    this.#tell(this.#readers.nextNotice(isReading));
  }

  #updateRole(now: Milliseconds): void {
    const isStale = [...this.#options.ages.values()].some(
      (age) => age.ageMs(now) > MAX_TOLD_AGE_MS,
    );
    const isReader = !this.isActive || isStale || this.#readers.isReader(now);
    if (isReader === this.#isReader) return;
    this.#isReader = isReader;
    this.#options.log('storeReading', {
      isReader,
      reader: this.#readers.readerHeard(now),
      reason: isStale ? 'stale' : 'order',
    });
    this.#options.onReader(isReader);
  }

  /** Asks a neighbour whose mirrors are newer for the changes, unless another one has just been asked. */
  #askIfBehind(asOf: Revisions, send: Neighbour['send']): void {
    const { clock, mirrors } = this.#options;
    const now = clock.now();
    const { at = -Infinity, asOf: asked = {} } = this.#wanted ?? {};
    const isAsked = now - at < WANT_TIMEOUT_MS;
    const isBehind = [...mirrors].some(([prefix, mirror]) => {
      const known = Math.max(mirror.asOf ?? -1, isAsked ? (asked[prefix] ?? -1) : -1);
      return (asOf[prefix] ?? -1) > known;
    });
    if (!this.isActive || !isBehind) return;
    this.#wanted = { at: now, asOf };
    send(encodePeerMessage({ kind: 'want', asOf: this.#revisions, inflates: true }));
  }

  #isAheadOf(asOf: Revisions): boolean {
    return [...this.#options.mirrors].some(
      ([prefix, mirror]) => (mirror.asOf ?? -1) > (asOf[prefix] ?? -1),
    );
  }

  #tell(notice: ReaderNotice, except?: string): void {
    const message = this.#encodeTold(notice);
    this.#zoneNeighbours
      .filter(([address]) => address !== except)
      .forEach(([, { send }]) => send(message));
  }

  #encodeTold(reader: ReaderNotice | undefined): Uint8Array {
    const message: PeerMessage = {
      kind: 'told',
      from: this.#options.address,
      asOf: this.#revisions,
      ...(reader && { reader }),
    };
    return encodePeerMessage(message);
  }

  get #revisions(): Revisions {
    return Object.fromEntries(
      [...this.#options.mirrors].map(([prefix, mirror]) => [prefix, mirror.asOf]),
    );
  }

  /** Neighbours of the own availability zone; older builds tell no zone and are not told anything. */
  get #zoneNeighbours(): readonly (readonly [string, Neighbour])[] {
    const { availabilityZone, clock } = this.#options;
    const now = clock.now();
    this.#neighbours.forEach(({ heardAt }, address) => {
      if (now - heardAt > NEIGHBOUR_SILENCE_MS) this.#neighbours.delete(address);
    });
    return [...this.#neighbours].filter(([, each]) => each.availabilityZone === availabilityZone);
  }

  /** The live entries of the own availability zone. */
  #mates(): readonly string[] {
    const now = this.#options.clock.now();
    return [...this.#members]
      .filter(([member, seenAt]) => {
        const isMate = this.#zones.get(member) === this.#options.availabilityZone;
        return isMate && now - seenAt <= MATE_MAX_AGE_MS;
      })
      .map(([member]) => member);
  }
}

/** Links to the first entries in rendezvous order of an address, as `readers` prefers them. */
export function chooseLinks(
  address: string,
  members: readonly string[],
  count: number,
  readers: Pick<StoreReaderTask, 'orderForLinks'> | undefined,
): readonly string[] {
  const ordered = rendezvousOrder(address, members);
  return (readers?.orderForLinks(ordered) ?? ordered).slice(0, count);
}
