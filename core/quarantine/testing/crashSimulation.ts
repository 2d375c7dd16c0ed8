import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createVirtualClock } from '../../clock/mod.ts';
import type { Milliseconds } from '../../clock/mod.ts';
import { Quarantine, REQUEST_POLICY, SHARED_TRAIT_POLICY, traitsOf } from '../mod.ts';
import type { QuarantinePolicy, Trait } from '../mod.ts';

/** What the crashing requests have in common. */
export type CrashCause = 'part' | 'request';

/** Options of `simulateCrashes`. */
export type CrashSimulationOptions = {
  readonly seed: number;
  /** Whether requests that share a prompt part crash servers, or one request that comes again. @default 'part' */
  readonly cause?: CrashCause;
  readonly entries: number;
  readonly servers: number;
  /** Sound requests a second. */
  readonly soundRate: number;
  /** Crashing requests a second. */
  readonly crashingRate: number;
  /** Whether requests that a server's end has cut off are sent once more. */
  readonly isRepeatable: boolean;
  /** How long an answer is written. */
  readonly writingMs: Milliseconds;
  /** Ends of single servers, a second, that no request has caused. @default 0 */
  readonly otherEndRate?: number;
  /** Times at which half of the servers end at once. @default [] */
  readonly massEndsAt?: readonly Milliseconds[];
  /** Times at which one entry starts again and has forgotten everything. @default [] */
  readonly restartsAt?: readonly Milliseconds[];
  /** When the crashing requests begin. @default 5000 */
  readonly crashingFrom?: Milliseconds;
  /** @default 40000 */
  readonly durationMs?: Milliseconds;
};

/** What a simulation has shown. */
export type CrashSimulationResult = {
  /** Times at which crashing requests reached servers. */
  readonly arrivals: readonly Milliseconds[];
  /** Times of the ends that they caused. */
  readonly crashes: readonly Milliseconds[];
  /** Share of the sound requests that began at the first attempt, before the crashes and from a time on. */
  readonly soundShare: (from: Milliseconds, until: Milliseconds) => number;
  /** Verdicts on traits that crash nothing, each with its entry. */
  readonly wrongVerdicts: readonly Trait[];
  /** Traits that crash nothing and are quarantined at some entry at the end. */
  readonly wrongAtEnd: readonly Trait[];
};

type SimulatedRequest = {
  readonly entry: number;
  readonly traits: readonly Trait[];
  readonly crashes: boolean;
  readonly sentAt: Milliseconds;
  attempts: number;
  writingSince: Milliseconds | undefined;
  server: number | undefined;
};

type SimulatedServer = { isUp: boolean; epoch: number; readonly requests: Set<SimulatedRequest> };

const CRASHING_PART = 'bad0';

const SHARED_PART = 'aa';

/** Middle parts of the sound requests; the number n is asked for in proportion to 1 / n. */
const MIDDLE_PARTS = 60;

const LINK_DELAY_MS: Milliseconds = 3;

const PUSH_DELAY_MS: Milliseconds = 20;

const TICK_INTERVAL_MS: Milliseconds = 150;

const RESTART_MS: Milliseconds = 2000;

const SETTLE_MS: Milliseconds = 30;

const TURN_RECHECK_MS: Milliseconds = 40;

const MAX_TURN_WAIT_MS: Milliseconds = 600;

const PROVEN_SOUND_MS: Milliseconds = 500;

const MAX_ATTEMPTS = 2;

/** Different sound requests when one request crashes servers; each comes again as well. */
const SOUND_REQUESTS = 60;

/** The part of a simulation that depends on the cause of the crashes. */
type CauseModel = {
  readonly policy: QuarantinePolicy;
  readonly crashingTrait: Trait;
  /** Returns the traits of a new request. */
  readonly traits: (crashing: boolean, random: () => number) => readonly Trait[];
};

const CAUSES: Readonly<Record<CrashCause, CauseModel>> = {
  part: {
    policy: SHARED_TRAIT_POLICY,
    crashingTrait: `part:${CRASHING_PART}`,
    traits: (crashing, random) => {
      const middle = Math.floor(MIDDLE_PARTS ** random());
      const own = `own${random()}`;
      const parts = [SHARED_PART, `b${middle}`, ...(crashing ? [CRASHING_PART] : []), own];
      return traitsOf({ promptParts: parts, path: `/${own}` });
    },
  },
  request: {
    policy: REQUEST_POLICY,
    crashingTrait: 'request:bad',
    traits: (crashing, random) => [
      crashing ? 'request:bad' : `request:${Math.floor(SOUND_REQUESTS ** random())}`,
    ],
  },
};

/* eslint-disable @typescript-eslint/no-use-before-define -- The steps of a request call each other. */

/**
 * Simulates entries that gossip, and servers that end when they begin to answer a crashing request, on a
 * virtual clock.
 */
export function simulateCrashes(options: CrashSimulationOptions): CrashSimulationResult {
  const {
    otherEndRate = 0,
    massEndsAt = [],
    restartsAt = [],
    crashingFrom = 5000,
    durationMs = 40_000,
  } = options;
  const cause = CAUSES[options.cause ?? 'part'];
  const clock = createVirtualClock();
  const generator = xoroshiro128plus(options.seed);
  const random = (): number => uniformFloat64(generator);
  const between = (low: number, high: number): number => low + random() * (high - low);
  const pick = (count: number): number => Math.floor(random() * count);

  const arrivals: Milliseconds[] = [];
  const crashes: Milliseconds[] = [];
  const wrongVerdicts: Trait[] = [];
  const sound: { readonly at: Milliseconds; began: boolean }[] = [];
  const servers: SimulatedServer[] = Array.from({ length: options.servers }, () => ({
    isUp: true,
    epoch: 0,
    requests: new Set(),
  }));
  const openRequests = Array.from({ length: options.entries }, () => new Set<SimulatedRequest>());
  const quarantines: Quarantine[] = [];
  const names = Array.from({ length: options.entries }, (_, entry) => `entry-${entry}`);
  /** Change of each entry's quarantine that was last sent to each other entry. */
  const sent = Array.from({ length: options.entries }, () =>
    Array.from({ length: options.entries }, () => 0),
  );
  const isPushing = Array.from({ length: options.entries }, () => false);

  function gossip(from: number): void {
    quarantines.forEach((_, to) => {
      if (to === from) return;
      const update = quarantines[from]!.updateSince(sent[from]![to]!, clock.now());
      sent[from]![to] = quarantines[from]!.change;
      if (update === undefined) return;
      const receiver = quarantines[to]!;
      clock.schedule(LINK_DELAY_MS, () => {
        if (quarantines[to] === receiver) receiver.applyUpdate(update, clock.now());
      });
    });
  }

  function push(from: number): void {
    if (isPushing[from]) return;
    isPushing[from] = true;
    clock.schedule(PUSH_DELAY_MS, () => {
      isPushing[from] = false;
      gossip(from);
    });
  }

  function createQuarantine(entry: number): Quarantine {
    return new Quarantine({
      self: `entry-${entry}`,
      incarnation: `entry-${entry}/${clock.now()}`,
      peers: () => names.filter((_, other) => other !== entry),
      policy: cause.policy,
      onQuarantined: ({ trait }) => {
        if (trait !== cause.crashingTrait) wrongVerdicts.push(trait);
      },
      onReleased: () => undefined,
      onChange: () => push(entry),
    });
  }

  const isProven = ({ writingSince }: SimulatedRequest): boolean =>
    writingSince !== undefined && clock.now() - writingSince >= PROVEN_SOUND_MS;

  function endServer(server: SimulatedServer): void {
    if (!server.isUp) return;
    server.isUp = false;
    server.epoch += 1;
    const lost = [...server.requests];
    server.requests.clear();
    clock.schedule(RESTART_MS, () => {
      server.isUp = true;
    });
    quarantines.forEach((quarantine, entry) => {
      const own = lost.filter((request) => request.entry === entry);
      if (own.length === 0) return;
      const at = clock.now();
      const recent = own.filter(({ writingSince }) => at - (writingSince ?? at) <= 1000);
      const suspects = recent.length > 0 ? recent : own;
      clock.schedule(SETTLE_MS + between(0, 40), () => {
        const traits = [...new Set(suspects.flatMap(({ traits: each }) => each))];
        const name = `server-${servers.indexOf(server)}`;
        quarantine.noteEnd({ server: name, service: 's', at, traits });
        own.forEach((request) => retry(request));
      });
    });
  }

  function retry(request: SimulatedRequest): void {
    const quarantine = quarantines[request.entry]!;
    const isIsolated = request.traits.some((trait) => quarantine.isIsolated(trait));
    const mayRetry = options.isRepeatable && request.attempts < MAX_ATTEMPTS && !isIsolated;
    if (mayRetry) dispatch(request);
    else openRequests[request.entry]!.delete(request);
  }

  function run(request: SimulatedRequest, server: SimulatedServer): void {
    const { epoch } = server;
    const quarantine = quarantines[request.entry]!;
    const isCurrent = (): boolean => server.epoch === epoch && server.requests.has(request);
    clock.schedule(between(20, 250), () => {
      if (!isCurrent()) return;
      if (request.crashes) {
        crashes.push(clock.now());
        endServer(server);
        return;
      }
      request.writingSince = clock.now();
      clock.schedule(PROVEN_SOUND_MS, () => {
        if (isCurrent()) quarantine.noteResponse('s', request.traits, clock.now());
      });
      clock.schedule(options.writingMs, () => {
        if (!isCurrent()) return;
        server.requests.delete(request);
        openRequests[request.entry]!.delete(request);
        quarantine.noteResponse('s', request.traits, clock.now());
      });
    });
  }

  function dispatch(request: SimulatedRequest): void {
    const { entry, traits } = request;
    const open = openRequests[entry]!;
    const isInFlight = (trait: Trait): boolean =>
      [...open].some(
        (other) =>
          other !== request &&
          other.server !== undefined &&
          !isProven(other) &&
          other.traits.includes(trait),
      );
    const admission = quarantines[entry]!.admit(traits, isInFlight, clock.now());
    if (admission.kind === 'wait' && clock.now() - request.sentAt <= MAX_TURN_WAIT_MS) {
      clock.schedule(TURN_RECHECK_MS, () => dispatch(request));
      return;
    }
    const candidates = servers.filter(({ isUp }) => isUp);
    if (admission.kind === 'reject' || admission.kind === 'wait' || candidates.length === 0) {
      open.delete(request);
      return;
    }
    if (admission.kind === 'trial') quarantines[entry]!.noteTrial(traits, clock.now());
    const server = candidates[pick(candidates.length)]!;
    request.attempts += 1;
    request.writingSince = undefined;
    request.server = servers.indexOf(server);
    server.requests.add(request);
    if (request.crashes) arrivals.push(clock.now());
    run(request, server);
  }

  function arrive(crashing: boolean): void {
    const entry = pick(options.entries);
    const request: SimulatedRequest = {
      entry,
      traits: cause.traits(crashing, random),
      crashes: crashing,
      sentAt: clock.now(),
      attempts: 0,
      writingSince: undefined,
      server: undefined,
    };
    openRequests[entry]!.add(request);
    quarantines[entry]!.noteArrival(request.traits, clock.now());
    dispatch(request);
    if (!crashing) sound.push({ at: clock.now(), began: request.server !== undefined });
  }

  function repeat(rate: number, from: Milliseconds, act: () => void): void {
    if (rate <= 0) return;
    const next = (): void => {
      act();
      clock.schedule((-Math.log(1 - random()) * 1000) / rate, next);
    };
    clock.schedule(from + between(0, 1000 / rate), next);
  }

  function restart(entry: number): void {
    openRequests[entry]!.clear();
    servers.forEach(({ requests }) => {
      [...requests].filter((each) => each.entry === entry).forEach((each) => requests.delete(each));
    });
    quarantines[entry] = createQuarantine(entry);
    sent.forEach((row) => {
      row[entry] = 0;
    });
    sent[entry]!.fill(0);
    // The others' links to the entry open again a moment later.
    clock.schedule(LINK_DELAY_MS, () => quarantines.forEach((_, from) => gossip(from)));
  }

  for (let entry = 0; entry < options.entries; entry += 1) {
    quarantines.push(createQuarantine(entry));
  }
  const tick = (): void => {
    quarantines.forEach((quarantine) => quarantine.tick(clock.now()));
    clock.schedule(TICK_INTERVAL_MS, tick);
  };
  tick();
  repeat(options.soundRate, 0, () => arrive(false));
  repeat(options.crashingRate, crashingFrom, () => arrive(true));
  repeat(otherEndRate, 0, () => endServer(servers[pick(servers.length)]!));
  massEndsAt.forEach((at) => {
    clock.schedule(at, () => servers.slice(0, servers.length / 2).forEach(endServer));
  });
  restartsAt.forEach((at) => clock.schedule(at, () => restart(pick(options.entries))));
  while ((clock.nextDue() ?? Infinity) <= durationMs) clock.runNext();

  return {
    arrivals,
    crashes,
    wrongVerdicts,
    wrongAtEnd: quarantines
      .flatMap(({ quarantined }) => quarantined)
      .filter((trait) => trait !== cause.crashingTrait),
    soundShare: (from, until) => {
      const counted = sound.filter(({ at }) => at >= from && at < until);
      if (counted.length === 0) return 1;
      return counted.filter(({ began }) => began).length / counted.length;
    },
  };
}
