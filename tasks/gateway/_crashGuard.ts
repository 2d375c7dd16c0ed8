import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { Quarantine, REQUEST_POLICY } from '../../core/quarantine/mod.ts';
import type { Admission, QuarantinePolicy, Trait } from '../../core/quarantine/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import { describeServerEnd } from './_describeRequest.ts';
import type { OpenRequest } from './_openRequest.ts';
import { ServerEnds } from './_serverEnds.ts';
import type { ConnectionEnd, LostRequest, ServerEnd } from './_serverEnds.ts';

/** Options of `CrashGuard`. */
export type CrashGuardOptions = {
  /** Name of this entry among its peers. */
  readonly self: string;
  /** Unique id of this process; new at each start. */
  readonly incarnation: string;
  /** Returns the names of the other live entries. */
  readonly peers: () => readonly string[];
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly openRequests: ReadonlySet<OpenRequest>;
  /** Called when a server has ended. */
  readonly onServerEnd: (serverId: string) => void;
  /** Called when requests with a trait must no longer be sent. */
  readonly onQuarantined: (trait: Trait) => void;
  /** Called after each change that the other entries should learn. */
  readonly onChange: () => void;
};

/** Time of writing from which on a request is not suspected of the end of its server. */
const SUSPECT_WRITING_MS: Milliseconds = 1000;

/** The requests that may have caused a server's end: those that had not been writing for long. */
function suspectsOf(requests: readonly LostRequest[]): readonly LostRequest[] {
  const recent = requests.filter(({ writingMs }) => (writingMs ?? 0) <= SUSPECT_WRITING_MS);
  return recent.length > 0 ? recent : requests;
}

/** The kinds of admission, the one that binds most first. */
const STRICTEST_FIRST: readonly Admission['kind'][] = ['reject', 'wait', 'trial', 'send'];

function stricter(first: Admission, second: Admission): Admission {
  const rank = ({ kind }: Admission): number => STRICTEST_FIRST.indexOf(kind);
  return rank(first) <= rank(second) ? first : second;
}

/** Observes the ends of servers for one entry, and keeps the requests that cause them from further servers. */
export class CrashGuard {
  /** Parts of prompts, adapters and paths that crash servers. */
  readonly quarantine: Quarantine;

  /** Single requests that crash servers each time they come. */
  readonly requestQuarantine: Quarantine;

  readonly #options: CrashGuardOptions;

  readonly #serverEnds: ServerEnds;

  constructor(options: CrashGuardOptions) {
    const { metrics } = options;
    this.#options = options;
    this.#serverEnds = new ServerEnds({
      clock: options.clock,
      onEnd: (end) => this.#handleEnd(end),
    });
    this.quarantine = this.#createQuarantine();
    this.requestQuarantine = this.#createQuarantine(REQUEST_POLICY);
    metrics.gauge('quarantined_traits', () => this.quarantine.quarantined.length);
    metrics.gauge('suspect_traits', () => this.quarantine.suspectCount);
    metrics.gauge('quarantined_requests', () => this.requestQuarantine.quarantined.length);
    metrics.gauge('suspect_requests', () => this.requestQuarantine.suspectCount);
  }

  /** Judges what is suspect. Call it several times a second. */
  tick(): void {
    const now = this.#options.clock.now();
    this.quarantine.tick(now);
    this.requestQuarantine.tick(now);
  }

  /** Decides whether a request may be sent to a server now. */
  admit(request: OpenRequest): Admission {
    const now = this.#options.clock.now();
    const isRunningWith = (hasTrait: (other: OpenRequest) => boolean): boolean =>
      [...this.#options.openRequests].some(
        (other) =>
          other !== request &&
          other.attempt !== undefined &&
          !other.isProvenSound &&
          hasTrait(other),
      );
    const shared = this.quarantine.admit(
      request.traits,
      (trait) => isRunningWith(({ traits }) => traits.includes(trait)),
      now,
    );
    if (this.requestQuarantine.isEmpty) return shared;
    const own = this.requestQuarantine.admit(
      [request.requestTrait()],
      (trait) => isRunningWith(({ requestTrait }) => requestTrait() === trait),
      now,
    );
    return stricter(own, shared);
  }

  /** Whether a request shares a trait with several servers' ends, so that it is not worth another server. */
  isIsolated(request: OpenRequest): boolean {
    return (
      request.traits.some((trait) => this.quarantine.isIsolated(trait)) ||
      (!this.requestQuarantine.isEmpty && this.requestQuarantine.isIsolated(request.requestTrait()))
    );
  }

  /** Whether a trait is one of a request. */
  hasTrait(request: OpenRequest, trait: Trait): boolean {
    return (
      request.traits.includes(trait) ||
      (this.requestQuarantine.isQuarantined(trait) && request.requestTrait() === trait)
    );
  }

  /** Records a request that has just been accepted. */
  noteArrival(request: OpenRequest): void {
    const now = this.#options.clock.now();
    this.quarantine.noteArrival(request.traits, now);
    if (this.requestQuarantine.isEmpty) return;
    this.requestQuarantine.noteArrival([request.requestTrait()], now);
  }

  /** Records that a request is sent; it is a trial if a trait of it is quarantined. */
  noteSent(request: OpenRequest): void {
    this.#noteTrial(this.quarantine, request.traits, request);
    if (this.requestQuarantine.isEmpty) return;
    this.#noteTrial(this.requestQuarantine, [request.requestTrait()], request);
  }

  /** Records that a connection ended with the response that it carried. */
  noteConnectionEnd(end: ConnectionEnd): void {
    this.#serverEnds.noteConnectionEnd(end);
  }

  /** Records a response that is complete, or has been written for some time. */
  noteSound(request: OpenRequest): void {
    const { service, traits, requestTrait } = request;
    const now = this.#options.clock.now();
    this.quarantine.noteResponse(service.name, traits, now);
    if (this.requestQuarantine.isEmpty) return;
    this.requestQuarantine.noteResponse(service.name, [requestTrait()], now);
  }

  #handleEnd(end: ServerEnd): void {
    const { clock, log, metrics } = this.#options;
    const { server, at, requests } = end;
    const { service } = server;
    this.#options.onServerEnd(server.id);
    metrics.count('server_ends_total', { service });
    log('serverEnded', describeServerEnd(end, clock.now()));
    const suspects = suspectsOf(requests);
    const noteEnd = (quarantine: Quarantine, traits: readonly Trait[]): void =>
      quarantine.noteEnd({ server: server.id, service, at, traits: [...new Set(traits)] });
    noteEnd(
      this.requestQuarantine,
      suspects.map(({ requestTrait }) => requestTrait),
    );
    noteEnd(
      this.quarantine,
      suspects.flatMap(({ traits }) => traits),
    );
  }

  #createQuarantine(policy?: QuarantinePolicy): Quarantine {
    const { log, self, incarnation, peers, onQuarantined, onChange } = this.#options;
    return new Quarantine({
      self,
      incarnation,
      peers,
      ...(policy === undefined ? {} : { policy }),
      onQuarantined: ({ trait, endCount, trialCount: trials, isDoubtful }, source) => {
        log('traitQuarantined', { trait, source, ends: endCount, trials, isDoubtful });
        onQuarantined(trait);
      },
      onReleased: (trait) => log('traitReleased', { trait }),
      onChange,
    });
  }

  #noteTrial(quarantine: Quarantine, traits: readonly Trait[], { head }: OpenRequest): void {
    const trait = traits.find((each) => quarantine.isQuarantined(each));
    if (trait === undefined) return;
    this.#options.log('quarantineTested', { trait, request: head.requestId });
    quarantine.noteTrial(traits, this.#options.clock.now());
  }
}
