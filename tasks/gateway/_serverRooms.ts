import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import { PromptCacheBelief, promptPrefix } from '../../core/promptCache/mod.ts';
import type { HeldTokens, PromptPrefix } from '../../core/promptCache/mod.ts';
import type { ServerView } from '../../core/dispatch/mod.ts';
import {
  chooseOfTwo,
  expectedCompletionMs,
  OutputLengths,
  SpeedEstimate,
  usesServerRoom,
  WorkAtServer,
} from '../../core/serverRoom/mod.ts';
import type { RoomRequest, SentWork, ServerRoom, WorkSummary } from '../../core/serverRoom/mod.ts';
import type { LogFields } from '../../log/mod.ts';
import type { Deployment } from '../../core/serving/mod.ts';
import type { RoomReport } from './keeperLinks.ts';
import type { OpenRequest } from './_openRequest.ts';

/** Options of `ServerRooms`. */
export type ServerRoomsOptions = {
  readonly clock: Clock;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  readonly availabilityZone: string;
  /** Returns the deployment in force. */
  readonly deployment: () => Deployment | undefined;
  /** Tells the keeper of a server what this entry has sent there. */
  /** Whether servers that hold parts of a prompt are preferred. @default true */
  readonly usesPromptCache?: boolean | undefined;
  readonly reportWork: (view: ServerView, work: WorkSummary) => void;
};

/** Chooses one of the servers that may serve a request. */
export type PickServer = (views: readonly ServerView[]) => ServerView | undefined;

/** How to choose a server for a request; empty where servers are not chosen by room. */
export type RoomPreference = {
  readonly pick?: PickServer;
  /** Returns the log fields of the last choice. */
  readonly describe?: () => LogFields;
};

type RoomRequestSource = Pick<OpenRequest, 'head' | 'route' | 'service'>;

type KnownServer = {
  readonly work: WorkAtServer;
  readonly speed: SpeedEstimate;
  view: ServerView;
  report: RoomReport | undefined;
  reportedAt: Milliseconds;
  /** Requests of this entry when the report arrived. */
  requestsAtReport: number;
  serviceMs: Milliseconds | undefined;
};

type Sending = {
  readonly serverId: string;
  readonly work: SentWork;
  readonly sentAt: Milliseconds;
  lastChunkAt: Milliseconds | undefined;
};

/** Time in which changes of the work are collected before they are reported. */
const REPORT_DELAY_MS: Milliseconds = 20;

/** Time after which the work is reported again although it has not changed. */
const REPORT_INTERVAL_MS: Milliseconds = 1000;

/** Age from which a report of the room is no longer used; keepers send one every 1.5 s at least. */
const MAX_REPORT_AGE_MS: Milliseconds = 1800;

/** Prefill speed assumed before the first measurement, in prompt tokens in a millisecond. */
const INITIAL_PROMPT_TOKENS_PER_MS = 30;

/** Pause between events assumed before the first measurement. */
const INITIAL_PAUSE_MS: Milliseconds = 40;

/** Time of a request assumed before the first has ended. */
const INITIAL_SERVICE_MS: Milliseconds = 100;

/** Weight of the newest sample in means over all servers of a service. */
const MEAN_WEIGHT = 0.01;

/** Weight of the newest sample in the mean time of the requests of one server. */
const SERVICE_WEIGHT = 0.1;

/** Largest sample of a mean relative to the mean, so that a faulty server does not raise it for all. */
const MAX_SAMPLE_RATIO = 4;

/** Time between two events relative to the mean, on an empty server and on top of it on a full one. */
const [EMPTY_PAUSE_SHARE, LOAD_PAUSE_SHARE] = [0.7, 0.6];

/** Cost of another availability zone. */
const CROSS_ZONE_MS: Milliseconds = 1;

/** Returns the mean after one more sample. */
function meanAfter(mean: number | undefined, sample: number, weight: number): number {
  if (mean === undefined) return sample;
  return mean + (Math.min(sample, mean * MAX_SAMPLE_RATIO) - mean) * weight;
}

/** Returns the prefill speed of a server now, by its keeper's measurement if there is one. */
function promptTokensPerMsOf(
  speed: SpeedEstimate,
  report: RoomReport | undefined,
  now: Milliseconds,
): number {
  const ratio = speed.ratio(now);
  if (report?.speed !== undefined && report.speed > 0) return report.speed / ratio;
  return INITIAL_PROMPT_TOKENS_PER_MS / (speed.usual * ratio);
}

/** How much more each server can take over all entries, as one entry knows it. */
export class ServerRooms {
  readonly #options: ServerRoomsOptions;

  readonly #servers = new Map<string, KnownServer>();

  readonly #sendings = new Map<OpenRequest, Sending>();

  readonly #cache = new PromptCacheBelief();

  readonly #lengths = new OutputLengths();

  /** Mean pause between events, and mean time of a request, over the servers of each service. */
  readonly #pauseMs = new Map<string, Milliseconds>();

  readonly #serviceMs = new Map<string, Milliseconds>();

  /** Servers whose work has changed since it was reported. */
  readonly #changed = new Set<string>();

  #reportedAt: Milliseconds = -Infinity;

  #cancelReport: Cancellation | undefined;

  constructor(options: ServerRoomsOptions) {
    this.#options = options;
  }

  /** Whether servers are chosen by room in the deployment in force. */
  get isEnabled(): boolean {
    return usesServerRoom(this.#options.deployment());
  }

  /** Returns what a request needs of a server. */
  needsOf({ head, route, service }: RoomRequestSource): RoomRequest {
    if (service.engine === undefined) return { promptTokens: 0, outputTokens: 0 };
    const declared = {
      expectedTokens: head.expectedOutputTokens,
      maxTokens: head.maxOutputTokens,
    };
    return {
      promptTokens: head.promptTokens ?? 0,
      outputTokens: this.#lengths.expected(route.name, declared),
    };
  }

  /** Returns how much more a server can take, as of now. */
  roomOf(view: ServerView, service: OpenRequest['service']): ServerRoom {
    const known = this.#known(view);
    const now = this.#options.clock.now();
    const isFresh = now - known.reportedAt <= MAX_REPORT_AGE_MS;
    const report = isFresh ? known.report : undefined;
    const own = known.work.summary;
    const [requests, promptTokens, outputTokens] = report?.others ?? [0, 0, 0];
    const unexplained =
      report === undefined
        ? view.load - own.requests
        : report.running + report.queued - requests - known.requestsAtReport;
    const room = {
      slots: view.server.slots,
      requests: own.requests + requests + Math.max(0, unexplained),
      promptTokens: own.promptTokens + promptTokens,
      promptTokensPerMs: promptTokensPerMsOf(known.speed, report, now),
      // An engine that reports no memory is not limited by it.
      memoryTokens: report?.memory || service.engine?.memoryTokens,
      committedTokens:
        (report?.used ?? 0) + own.promptTokens + promptTokens + own.outputTokens + outputTokens,
      serviceMs: known.serviceMs ?? this.#serviceMs.get(service.name) ?? INITIAL_SERVICE_MS,
    };
    const meanPauseMs = this.#pauseMs.get(service.name) ?? INITIAL_PAUSE_MS;
    const loadFactor = EMPTY_PAUSE_SHARE + (LOAD_PAUSE_SHARE * room.requests) / room.slots;
    return {
      ...room,
      tokenMs:
        (meanPauseMs * known.speed.usual * loadFactor) / (service.engine?.tokensPerEvent ?? 1),
      slownessMs: known.speed.addedMs(room.serviceMs, now),
    };
  }

  /**
   * Returns how to choose among model servers for a request; nothing where this is not enabled. Plain
   * servers are chosen as before, since what other entries have sent them is not known.
   */
  preferenceFor(request: RoomRequestSource): RoomPreference {
    if (!this.isEnabled || request.service.engine === undefined) return {};
    const needs = this.needsOf(request);
    const prefix = this.#prefixOf(request);
    const { availabilityZone, random } = this.#options;
    let described: LogFields = {};
    const pick: PickServer = (views) => {
      const likely = PromptCacheBelief.likelyTokens(
        prefix,
        views.map(({ server }) => server.id),
      );
      const priced = views.map((view) => {
        const held = this.#heldAt(view, request, prefix);
        const likelyTokens = likely.get(view.server.id) ?? 0;
        const savedTokens = Math.min(needs.promptTokens, Math.max(held.tokens, likelyTokens));
        const room = this.roomOf(view, request.service);
        const zoneMs = view.server.availabilityZone === availabilityZone ? 0 : CROSS_ZONE_MS;
        const needed = { ...needs, promptTokens: needs.promptTokens - savedTokens };
        return { view, held, room, costMs: expectedCompletionMs(room, needed) + zoneMs };
      });
      const chosen = chooseOfTwo(priced, ({ costMs }) => costMs, random);
      if (chosen === undefined) return undefined;
      const others = priced.filter((each) => each !== chosen).map(({ costMs }) => costMs);
      described = {
        costMs: Math.round(chosen.costMs),
        runnerUpMs: others.length === 0 ? undefined : Math.round(Math.min(...others)),
        heldTokens: chosen.held.tokens,
        savedMs: Math.round(chosen.held.tokens / chosen.room.promptTokensPerMs),
        heldAgeMs: chosen.held.ageMs === undefined ? undefined : Math.round(chosen.held.ageMs),
      };
      return chosen.view;
    };
    return { pick, describe: () => described };
  }

  /** Applies a keeper's report. */
  applyReport(view: ServerView, report: RoomReport): void {
    const known = this.#known(view);
    known.report = report;
    known.reportedAt = this.#options.clock.now();
    known.requestsAtReport = known.work.summary.requests;
  }

  /** Records a request that is sent to a server. */
  noteSent(request: OpenRequest, view: ServerView): void {
    if (!this.isEnabled) return;
    this.noteEnded(request, false);
    const known = this.#known(view);
    const { promptTokens, outputTokens } = this.needsOf(request);
    const held = this.#holdParts(request, view);
    this.#sendings.set(request, {
      serverId: view.server.id,
      work: known.work.noteSent(Math.max(0, promptTokens - held), outputTokens),
      sentAt: this.#options.clock.now(),
      lastChunkAt: undefined,
    });
    this.#noteChanged(view.server.id);
  }

  /** Records a chunk of the response of a request, about one event. */
  noteChunk(request: OpenRequest): void {
    const sending = this.#sendings.get(request);
    const known = sending && this.#servers.get(sending.serverId);
    if (sending === undefined || known === undefined) return;
    const now = this.#options.clock.now();
    const { service, route } = request;
    known.work.noteOutput(sending.work, service.engine?.tokensPerEvent ?? 1);
    if (sending.lastChunkAt === undefined) {
      this.#noteChanged(sending.serverId);
    } else if (route.isStream) {
      const pauseMs = now - sending.lastChunkAt;
      const meanMs = meanAfter(this.#pauseMs.get(service.name), pauseMs, MEAN_WEIGHT);
      this.#pauseMs.set(service.name, meanMs);
      known.speed.note(pauseMs, meanMs, now);
    }
    sending.lastChunkAt = now;
  }

  /** Records the end of a request at its server. */
  noteEnded(request: OpenRequest, isComplete: boolean): void {
    const sending = this.#sendings.get(request);
    if (sending === undefined) return;
    this.#sendings.delete(request);
    const known = this.#servers.get(sending.serverId);
    if (known === undefined) return;
    known.work.noteEnded(sending.work);
    this.#noteChanged(sending.serverId);
    if (!isComplete) return;
    const { service, route } = request;
    const now = this.#options.clock.now();
    const tookMs = now - sending.sentAt;
    const meanMs = meanAfter(this.#serviceMs.get(service.name), tookMs, MEAN_WEIGHT);
    this.#serviceMs.set(service.name, meanMs);
    known.serviceMs = meanAfter(known.serviceMs, tookMs, SERVICE_WEIGHT);
    if (!route.isStream) known.speed.note(tookMs, meanMs, now);
    else this.#lengths.note(route.name, sending.work.receivedTokens);
  }

  /** Reports the work at a server, whose link has just opened. */
  noteOpen(view: ServerView): void {
    if (!this.isEnabled) return;
    this.#known(view);
    this.#noteChanged(view.server.id);
  }

  /** Forgets a server that has been removed. */
  forget(serverId: string): void {
    this.#servers.delete(serverId);
    this.#cache.forget(serverId);
    this.#changed.delete(serverId);
  }

  /** Reports all work again from time to time. Call it several times a second. */
  tick(views: readonly ServerView[]): void {
    const now = this.#options.clock.now();
    if (!this.isEnabled || now - this.#reportedAt < REPORT_INTERVAL_MS) return;
    this.#reportedAt = now;
    views.forEach((view) => {
      this.#known(view);
      this.#noteChanged(view.server.id);
    });
  }

  /** Stops reporting. */
  close(): void {
    this.#cancelReport?.();
  }

  #known(view: ServerView): KnownServer {
    const { id } = view.server;
    let known = this.#servers.get(id);
    if (known === undefined) {
      known = {
        work: new WorkAtServer(),
        speed: new SpeedEstimate(),
        view,
        report: undefined,
        reportedAt: -Infinity,
        requestsAtReport: 0,
        serviceMs: undefined,
      };
      this.#servers.set(id, known);
    }
    known.view = view;
    return known;
  }

  #prefixOf({ head }: RoomRequestSource): PromptPrefix {
    if (this.#options.usesPromptCache === false) return { keys: [], tokens: [] };
    return promptPrefix(head.modelName ?? '', head.promptParts, head.promptPartTokens);
  }

  #heldAt(view: ServerView, { head }: RoomRequestSource, prefix: PromptPrefix): HeldTokens {
    const version = view.versionOf(head.modelName ?? '') ?? 0;
    return this.#cache.heldTokens(view.server, version, prefix, this.#options.clock.now());
  }

  /** Records that a server holds the parts of a request, and returns the tokens that it held before. */
  #holdParts(request: RoomRequestSource, view: ServerView): number {
    if (request.service.engine === undefined) return 0;
    const prefix = this.#prefixOf(request);
    const { tokens } = this.#heldAt(view, request, prefix);
    const room = this.roomOf(view, request.service);
    const own = this.#known(view).work.summary.requests + 1;
    // Other entries fill their share of the memory with parts that this entry does not know.
    const ownShare = Math.min(1, own / Math.max(own, room.requests));
    const leftTokens = Math.max(0, (room.memoryTokens ?? Infinity) - room.committedTokens);
    const version = view.versionOf(request.head.modelName ?? '') ?? 0;
    const now = this.#options.clock.now();
    this.#cache.noteSent(view.server, version, prefix, leftTokens * ownShare, now);
    return tokens;
  }

  #noteChanged(serverId: string): void {
    if (!this.isEnabled) return;
    this.#changed.add(serverId);
    this.#cancelReport ??= this.#options.clock.schedule(REPORT_DELAY_MS, () => this.#report());
  }

  #report(): void {
    this.#cancelReport = undefined;
    this.#changed.forEach((id) => {
      const known = this.#servers.get(id);
      if (known !== undefined) this.#options.reportWork(known.view, known.work.summary);
    });
    this.#changed.clear();
  }
}
