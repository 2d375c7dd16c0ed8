import type { Milliseconds } from '../clock/mod.ts';
import { rendezvousOrder } from '../placement/mod.ts';
import { SHARED_TRAIT_POLICY } from './quarantinePolicy.ts';
import type { QuarantinePolicy } from './quarantinePolicy.ts';
import type {
  ClearanceRecord,
  EndRecord,
  QuarantineUpdate,
  VerdictRecord,
} from './quarantineUpdate.ts';
import { isSameEnd, Suspect } from './suspect.ts';
import type { Trait } from './traits.ts';

/** The end of a server, as this process saw it. */
export type ObservedEnd = {
  readonly server: string;
  readonly service: string;
  readonly at: Milliseconds;
  /** Traits of the requests that may have caused the end. */
  readonly traits: readonly Trait[];
};

/** A trait that was quarantined, and what the verdict rests on. */
export type Verdict = {
  readonly trait: Trait;
  readonly endCount: number;
  readonly trialCount: number;
  /** Whether other traits explain the ends as well. */
  readonly isDoubtful: boolean;
  /** When the latest end or trial was. */
  readonly changedAt: Milliseconds;
};

/** Whether a request may be sent: now, later, not at all, or as a test of a verdict. */
export type Admission =
  | { readonly kind: 'send' }
  | { readonly kind: 'trial'; readonly trait: Trait }
  | { readonly kind: 'wait'; readonly trait: Trait }
  | { readonly kind: 'reject'; readonly trait: Trait };

/** Options of `Quarantine`. */
export type QuarantineOptions = {
  /** Name of this process among its peers. */
  readonly self: string;
  /** Unique id of this process; new at each start. */
  readonly incarnation: string;
  /** Returns the names of the other live processes. */
  readonly peers: () => readonly string[];
  /** @default `SHARED_TRAIT_POLICY` */
  readonly policy?: QuarantinePolicy;
  /** Called when a trait is quarantined, here or at another process. */
  readonly onQuarantined: (verdict: Verdict, source: 'own' | 'peer') => void;
  /** Called when a quarantined trait is cleared. */
  readonly onReleased: (trait: Trait) => void;
  /** Called after each change that other processes should learn. */
  readonly onChange: () => void;
};

/** Time in which the other processes' reports of an end arrive. */
const REPORTING_MS: Milliseconds = 150;

/** Responses to other requests that show that the service itself is sound. */
const CONTROL_RESPONSES = 3;

/** Time from a verdict to the first request that tests it; each further one takes longer by the factor. */
const FIRST_TRIAL_DELAY_MS: Milliseconds = 60_000;

const TRIAL_DELAY_FACTOR = 5;

/** Time from a doubtful verdict to the first such request. */
const DOUBTFUL_TRIAL_DELAY_MS: Milliseconds = 2000;

/** Time after which ends without a verdict are forgotten. */
const EVIDENCE_MAX_AGE_MS: Milliseconds = 600_000;

/** Time without a request after which a verdict is forgotten. */
const VERDICT_MAX_IDLE_MS: Milliseconds = 6 * 3_600_000;

/** Reports of ends that are kept; one end has as many reports as its server has slots, at most. */
const MAX_ENDS = 256;

const MAX_TRAITS_PER_END = 128;

const MAX_CLEARANCES = 2048;

const MAX_VERDICTS = 256;

type KnownEnd = Omit<ObservedEnd, 'traits'> & {
  /** Those that are not cleared, or the quarantined ones that explain the end. */
  readonly traits: Set<Trait>;
  readonly isExplained: boolean;
  readonly change: number;
};

type Clearance = { at: Milliseconds; change: number };

type KnownVerdict = {
  endCount: number;
  trialCount: number;
  readonly isDoubtful: boolean;
  changedAt: Milliseconds;
  requestedAt: Milliseconds;
  change: number;
};

function deleteOldest<Value>(map: Map<string, Value>, maxSize: number): void {
  const [oldest] = map.keys();
  if (oldest !== undefined && map.size > maxSize) map.delete(oldest);
}

/**
 * Finds out what crashes servers and keeps it away from them.
 *
 * Requests that ran on a server as it ended have traits, such as the parts of their prompts. A trait
 * that keeps coming back at the ends of servers, and that no successful response has had since the first
 * of them, is quarantined: its requests are not sent any more. A successful response clears a trait.
 * Processes exchange ends, clearances and verdicts, since each sees only its own requests.
 */
export class Quarantine {
  readonly #options: QuarantineOptions;

  readonly #policy: QuarantinePolicy;

  /** Reports of ends, by id. */
  readonly #ends = new Map<string, KnownEnd>();

  readonly #suspects = new Map<Trait, Suspect>();

  readonly #clearances = new Map<Trait, Clearance>();

  readonly #verdicts = new Map<Trait, KnownVerdict>();

  /** Successful responses that this process has seen, by service. */
  readonly #responseCounts = new Map<string, number>();

  /** Number of the latest change. */
  #change = 0;

  #nextEndNumber = 0;

  constructor(options: QuarantineOptions) {
    this.#options = options;
    this.#policy = options.policy ?? SHARED_TRAIT_POLICY;
  }

  /** Number of the latest change; see `updateSince`. */
  get change(): number {
    return this.#change;
  }

  /** Whether requests with a trait are not sent to servers. */
  isQuarantined(trait: Trait): boolean {
    return this.#verdicts.has(trait);
  }

  /** Whether nothing is suspect or quarantined. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0 && this.#verdicts.size === 0;
  }

  /** Traits that are quarantined. */
  get quarantined(): readonly Trait[] {
    return [...this.#verdicts.keys()];
  }

  /** Number of traits that ran on servers as they ended and are not cleared. */
  get suspectCount(): number {
    return this.#suspects.size;
  }

  /** Records the end of a server that had requests of this process. */
  noteEnd(end: ObservedEnd): void {
    this.#nextEndNumber += 1;
    if (this.#recordEnd(`${this.#options.incarnation}#${this.#nextEndNumber}`, end)) {
      this.#options.onChange();
    }
    end.traits.forEach((trait) => {
      const suspect = this.#suspects.get(trait);
      if (suspect !== undefined) suspect.isLocal = true;
    });
    this.#addToVerdicts(end);
    this.#judge(end.at);
  }

  /** Records a successful response, or one that has been written for some time: its traits crash no server. */
  noteResponse(service: string, traits: readonly Trait[], now: Milliseconds): void {
    this.#responseCounts.set(service, (this.#responseCounts.get(service) ?? 0) + 1);
    const isKnown = (trait: Trait): boolean =>
      this.#suspects.has(trait) || this.#verdicts.has(trait);
    const cleared = traits.filter(isKnown);
    if (cleared.length === 0) return;
    cleared.forEach((trait) => this.#clear(trait, now));
    this.#options.onChange();
  }

  /** Records that a request with these traits has arrived. */
  noteArrival(traits: readonly Trait[], now: Milliseconds): void {
    if (this.#verdicts.size === 0) return;
    traits.forEach((trait) => {
      const verdict = this.#verdicts.get(trait);
      if (verdict !== undefined) verdict.requestedAt = now;
    });
  }

  /**
   * Decides whether a request may be sent.
   *
   * @param traits The request's traits.
   * @param isInFlight Tells whether another request with a trait is at a server.
   */
  admit(
    traits: readonly Trait[],
    isInFlight: (trait: Trait) => boolean,
    now: Milliseconds,
  ): Admission {
    const quarantined = traits.filter((trait) => this.#verdicts.has(trait));
    const [trait] = quarantined;
    if (trait !== undefined) {
      const isDue = quarantined.every((each) => this.#isTrialDue(each, quarantined.length, now));
      return isDue ? { kind: 'trial', trait } : { kind: 'reject', trait };
    }
    const isolated = traits.find((each) => this.isIsolated(each) && isInFlight(each));
    return isolated === undefined ? { kind: 'send' } : { kind: 'wait', trait: isolated };
  }

  /** Whether a trait is suspect enough that its requests run one at a time and are not repeated. */
  isIsolated(trait: Trait): boolean {
    const suspect = this.#suspects.get(trait);
    if (suspect === undefined) return false;
    const { endsToIsolate, needsControlToIsolate } = this.#policy;
    const { counted } = this.#countEnds(suspect, Infinity);
    return counted >= endsToIsolate && (!needsControlToIsolate || this.#hasControl(suspect));
  }

  /** Records that a request is sent to test the verdicts on its traits. */
  noteTrial(traits: readonly Trait[], now: Milliseconds): void {
    traits.forEach((trait) => {
      const verdict = this.#verdicts.get(trait);
      if (verdict === undefined) return;
      verdict.trialCount += 1;
      verdict.changedAt = now;
      verdict.change = this.#nextChange();
    });
    this.#options.onChange();
  }

  /** Returns what has changed after a change number, or `undefined` if nothing has. */
  updateSince(change: number, now: Milliseconds): QuarantineUpdate | undefined {
    if (change >= this.#change) return undefined;
    const ends = [...this.#ends].filter(([, end]) => end.change > change);
    const clearances = [...this.#clearances].filter(([, each]) => each.change > change);
    const verdicts = [...this.#verdicts].filter(([, verdict]) => verdict.change > change);
    return {
      ends: ends.map(([id, { server, service, at, traits }]) => ({
        id,
        server,
        service,
        ageMs: now - at,
        traits: [...traits],
      })),
      clearances: clearances.map(([trait, { at }]) => ({ trait, ageMs: now - at })),
      verdicts: verdicts.map(([trait, { endCount, trialCount, isDoubtful, changedAt }]) => ({
        trait,
        endCount,
        trialCount,
        isDoubtful,
        ageMs: now - changedAt,
      })),
    };
  }

  /** Applies what another process has sent. */
  applyUpdate(update: QuarantineUpdate, now: Milliseconds): void {
    const before = this.#change;
    update.clearances.forEach((clearance) => this.#applyClearance(clearance, now));
    update.verdicts.forEach((verdict) => this.#applyVerdict(verdict, now));
    update.ends.forEach((end) => this.#applyEnd(end, now));
    this.#judge(now);
    if (this.#change > before) this.#options.onChange();
  }

  /** Judges the suspects, and forgets what is too old to matter. Call it several times a second. */
  tick(now: Milliseconds): void {
    this.#judge(now);
    [...this.#ends].forEach(([id, { at }]) => {
      if (now - at > EVIDENCE_MAX_AGE_MS) this.#removeEnd(id);
    });
    this.#clearances.forEach(({ at }, trait) => {
      if (now - at > EVIDENCE_MAX_AGE_MS) this.#clearances.delete(trait);
    });
    this.#verdicts.forEach(({ changedAt, requestedAt }, trait) => {
      if (now - Math.max(changedAt, requestedAt) <= VERDICT_MAX_IDLE_MS) return;
      this.#verdicts.delete(trait);
      this.#options.onReleased(trait);
    });
  }

  #nextChange(): number {
    this.#change += 1;
    return this.#change;
  }

  #hasControl(suspect: Suspect): boolean {
    const responses = this.#responseCounts.get(suspect.service) ?? 0;
    return responses - suspect.responsesBefore >= CONTROL_RESPONSES;
  }

  #isTrialDue(trait: Trait, quarantinedCount: number, now: Milliseconds): boolean {
    const { endCount, trialCount, isDoubtful, changedAt } = this.#verdicts.get(trait)!;
    const { manyEnds, maxTrials } = this.#policy;
    if (endCount >= manyEnds && trialCount >= maxTrials) return false;
    // While several verdicts are in doubt, a trial should test one of them only.
    const isEarly = isDoubtful && trialCount === 0 && quarantinedCount === 1;
    const laterTrials = Math.max(0, trialCount - (isDoubtful ? 1 : 0));
    const delayMs = isEarly
      ? DOUBTFUL_TRIAL_DELAY_MS
      : FIRST_TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR ** laterTrials;
    if (now - changedAt < delayMs) return false;
    const { self, peers } = this.#options;
    return rendezvousOrder(trait, [self, ...peers()])[0] === self;
  }

  /** Records a report of an end. Returns whether it adds anything to what is known. */
  #recordEnd(id: string, reported: ObservedEnd): boolean {
    if (this.#ends.has(id)) return false;
    // Reports of one end count from the same time, so that they are judged together.
    const known = [...this.#ends.values()].find((other) => isSameEnd(other, reported));
    const end = known === undefined ? reported : { ...reported, at: known.at };
    const guilty = end.traits.filter((trait) => this.#verdicts.has(trait));
    if (guilty.length > 0) {
      this.#addExplainedEnd(id, { ...end, traits: guilty });
      return true;
    }
    const uncleared = end.traits
      .filter((trait) => (this.#clearances.get(trait)?.at ?? -Infinity) < end.at)
      .slice(0, MAX_TRAITS_PER_END);
    if (uncleared.length === 0 || this.#isExplained(end)) return false;
    this.#addEnd(id, { ...end, traits: new Set(uncleared), isExplained: false });
    uncleared.forEach((trait) => this.#suspectOf(trait, end.service).addEnd(id, end));
    return true;
  }

  #addEnd(id: string, end: Omit<KnownEnd, 'change'>): void {
    this.#ends.set(id, { ...end, change: this.#nextChange() });
    if (this.#ends.size > MAX_ENDS) this.#removeEnd(this.#leastUsefulEnd());
  }

  /** The oldest report whose traits were at no other end, or else the oldest. */
  #leastUsefulEnd(): string {
    const isRepeated = (trait: Trait): boolean => (this.#suspects.get(trait)?.reportCount ?? 0) > 1;
    const [single] = [...this.#ends].find(([, { traits }]) => ![...traits].some(isRepeated)) ?? [];
    return single ?? [...this.#ends.keys()][0]!;
  }

  /** Records an end that a quarantined trait explains; it no longer counts against anything else. */
  #addExplainedEnd(id: string, end: ObservedEnd): void {
    [...this.#ends].forEach(([knownId, known]) => {
      if (!known.isExplained && isSameEnd(known, end)) this.#removeEnd(knownId);
    });
    this.#addEnd(id, { ...end, traits: new Set(end.traits), isExplained: true });
  }

  #isExplained(end: ObservedEnd): boolean {
    return [...this.#ends.values()].some((known) => known.isExplained && isSameEnd(known, end));
  }

  /** Counts an end that this process has seen for the verdicts that explain it. */
  #addToVerdicts({ traits, at }: ObservedEnd): void {
    traits.forEach((trait) => {
      const verdict = this.#verdicts.get(trait);
      if (verdict === undefined) return;
      verdict.endCount += 1;
      verdict.changedAt = Math.max(verdict.changedAt, at);
      verdict.change = this.#nextChange();
    });
  }

  #suspectOf(trait: Trait, service: string): Suspect {
    let suspect = this.#suspects.get(trait);
    if (suspect === undefined) {
      suspect = new Suspect(trait, service, this.#responseCounts.get(service) ?? 0);
      this.#suspects.set(trait, suspect);
    }
    return suspect;
  }

  #removeEnd(id: string): void {
    const end = this.#ends.get(id);
    this.#ends.delete(id);
    end?.traits.forEach((trait) => {
      if (this.#suspects.get(trait)?.removeEnd(id) === true) this.#suspects.delete(trait);
    });
  }

  #clear(trait: Trait, at: Milliseconds): void {
    this.#suspects.delete(trait);
    this.#ends.forEach((end, id) => {
      end.traits.delete(trait);
      if (end.traits.size === 0) this.#ends.delete(id);
    });
    this.#clearances.delete(trait);
    this.#clearances.set(trait, { at, change: this.#nextChange() });
    deleteOldest(this.#clearances, MAX_CLEARANCES);
    if (this.#verdicts.delete(trait)) this.#options.onReleased(trait);
  }

  /** Quarantines the suspects that explain the most ends. */
  #judge(now: Milliseconds): void {
    for (;;) {
      const guilty = this.#findGuilty(now);
      if (guilty.length === 0) return;
      // All verdicts before the first takes effect, which removes the ends that it explains.
      guilty
        .map((suspect) => Quarantine.#verdictOn(suspect, guilty.length > 1))
        .forEach((verdict) => this.#quarantine(verdict, now));
    }
  }

  /**
   * Returns the suspect that explains the most ends, if these are enough and no other explains as many. Beyond
   * doubt that one of them is guilty, returns all that explain as many.
   */
  #findGuilty(now: Milliseconds): readonly Suspect[] {
    const { endsToQuarantine, endsBeyondDoubt, serversBeyondDoubt } = this.#policy;
    const ranked = [...this.#suspects.values()]
      .filter(({ reportCount }) => reportCount >= endsToQuarantine)
      .map((suspect) => ({ suspect, ...this.#countEnds(suspect, now - REPORTING_MS) }))
      .filter(({ counted }) => counted >= endsToQuarantine)
      .sort((a, b) => b.counted - a.counted || b.servers - a.servers);
    const [first] = ranked;
    if (first === undefined) return [];
    const equals = ranked.filter(
      ({ counted, servers }) => counted === first.counted && servers === first.servers,
    );
    const suspects = equals.map(({ suspect }) => suspect);
    const isBeyondDoubt = first.counted >= endsBeyondDoubt || first.servers >= serversBeyondDoubt;
    const isClear = suspects.length === 1 && this.#hasControl(first.suspect);
    return suspects.some(({ isLocal }) => isLocal) && (isBeyondDoubt || isClear) ? suspects : [];
  }

  /** Counts a suspect's ends until a point in time, those that the policy counts and all. */
  #countEnds(
    suspect: Suspect,
    until: Milliseconds,
  ): { readonly counted: number; readonly servers: number } {
    const { separate, servers } = suspect.countEnds(until);
    return { counted: this.#policy.countsSimultaneousEnds ? servers : separate, servers };
  }

  static #verdictOn({ trait, reportCount, lastEndAt }: Suspect, isDoubtful: boolean): Verdict {
    return { trait, endCount: reportCount, trialCount: 0, isDoubtful, changedAt: lastEndAt };
  }

  #quarantine(verdict: Verdict, now: Milliseconds): void {
    this.#setVerdict(verdict, now);
    this.#options.onQuarantined(verdict, 'own');
    this.#options.onChange();
  }

  #setVerdict({ trait, ...verdict }: Verdict, now: Milliseconds): void {
    const change = this.#nextChange();
    this.#verdicts.set(trait, { ...verdict, requestedAt: now, change });
    deleteOldest(this.#verdicts, MAX_VERDICTS);
    this.#suspects.delete(trait);
    [...this.#ends].forEach(([id, end]) => {
      if (end.isExplained || !end.traits.has(trait)) return;
      this.#removeEnd(id);
      this.#addExplainedEnd(id, { ...end, traits: [trait] });
    });
  }

  #applyClearance({ trait, ageMs }: ClearanceRecord, now: Milliseconds): void {
    const at = now - ageMs;
    const verdict = this.#verdicts.get(trait);
    const suspect = this.#suspects.get(trait);
    const isNews =
      (verdict !== undefined && verdict.changedAt < at) ||
      (suspect !== undefined && suspect.lastEndAt < at);
    if (isNews) this.#clear(trait, at);
  }

  #applyVerdict({ ageMs, ...received }: VerdictRecord, now: Milliseconds): void {
    const { trait, endCount, trialCount } = received;
    const changedAt = now - ageMs;
    const known = this.#verdicts.get(trait);
    const clearance = this.#clearances.get(trait);
    if (clearance !== undefined && clearance.at > changedAt) {
      // The sender has not heard of the response that clears the trait.
      clearance.change = this.#nextChange();
      return;
    }
    if (known === undefined) {
      const verdict: Verdict = { ...received, changedAt };
      this.#setVerdict(verdict, now);
      this.#options.onQuarantined(verdict, 'peer');
      return;
    }
    if (known.endCount >= endCount && known.trialCount >= trialCount) return;
    known.endCount = Math.max(known.endCount, endCount);
    known.trialCount = Math.max(known.trialCount, trialCount);
    known.changedAt = Math.max(known.changedAt, changedAt);
    known.change = this.#nextChange();
  }

  #applyEnd({ ageMs, ...end }: EndRecord, now: Milliseconds): void {
    this.#recordEnd(end.id, { ...end, at: now - ageMs });
  }
}
