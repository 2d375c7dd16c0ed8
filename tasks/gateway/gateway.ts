import type { CallerRequest } from '../../carriage/mod.ts';
import { Ejection, RetryBudget, savedRetries } from '../../core/admission/mod.ts';
import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import {
  chooseServer,
  mayRunAgain,
  MISDIRECTED_STATUS,
  nextStep,
} from '../../core/dispatch/mod.ts';
import type { SendingEnd, ServerView } from '../../core/dispatch/mod.ts';
import { DONE, failed, unknown } from '../../core/outcome/mod.ts';
import { EventCutter } from '../../core/streams/mod.ts';
import { selectRoute, selectService } from '../../core/serving/mod.ts';
import type { Deployment, ModelName, Service } from '../../core/serving/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import { decodeRequestHead, encodeRequestHeaders } from '../../platform/mod.ts';
import type { Dial } from '../ports/mod.ts';
import { answerOwn } from './_answerOwn.ts';
import { describeChoice, describeEnd } from './_describeRequest.ts';
import type { OpenRequest, RequestEnd } from './_openRequest.ts';
import { noteBegun, passAnswer } from './_passAnswer.ts';
import { ServerTable } from './_serverTable.ts';
import { StartingHold } from './_startingHold.ts';

/** How to build a `Gateway`. */
export type GatewayOptions = {
  /** Name of this process among the entries; new at each start. */
  readonly entry: string;
  readonly availabilityZone: string;
  /** Port on which keepers listen on their hosts. */
  readonly keeperPort: number;
  /** Retries that each request allows, as a share. */
  readonly retryShare: number;
  /** Further retries that a service takes from all entries together. */
  readonly retrySlack: number;
  /** The most entries that were ever known of; `undefined` before any other was. */
  readonly entries: () => number | undefined;
  readonly clock: Clock;
  readonly dial: Dial;
  readonly log: Log;
  readonly metrics: Metrics;
  /** A number from 0 to 1, which spreads the return of refused callers. */
  readonly random: () => number;
};

/** Time before a request's end at which its final answer is sent, so that it arrives in time. */
const ANSWER_MARGIN_MS: Milliseconds = 25;

/** Time that requests have whose caller names none; used where the route names none either. */
const DEFAULT_TIME_MS: Milliseconds = 30_000;

/** Share of the allowed retries that is used, since requests are counted a little differently. */
const RETRY_SAFETY = 0.8;

/** Share of the objective for which a request may wait for an adapter's load. */
const LOAD_WAIT_SHARE = 0.9;

/** Time for which callers stay away while this process knows no deployment; the store may be down. */
const STARTING_RETRY_MS: Milliseconds = 1200;

/** Time for which callers stay away when an adapter was not loaded in time; two loads end meanwhile. */
const LOAD_LATE_RETRY_MS: Milliseconds = 500;

/** Time for which callers stay away when servers did not run a request; a place comes free that often. */
const NOT_RUN_RETRY_MS: Milliseconds = 300;

/** The least urgent priority that engines know. */
const LAST_PRIORITY = 9;

/** Silence that every server may keep: answers of sound ones take some tens of milliseconds. */
const LEAST_SILENCE_MS: Milliseconds = 50;

/** Time for which callers stay away from a process that leaves; others serve them at once. */
const LEAVING_RETRY_MS: Milliseconds = 50;

/** Share of the time left to a caller for which it stays away when told to. */
const HEEDED_SHARE = 0.32;

/** Time between looks at silent keepers and lapsed servers. */
const TICK_MS: Milliseconds = 150;

/** Time without an answer's head, in objectives, after which what may be repeated is sent again. */
const SILENT_OBJECTIVES = 1;

/** Serves callers' requests: chooses servers, sends, sends again, answers. */
export class Gateway {
  readonly #options: GatewayOptions;

  readonly #table: ServerTable;

  readonly #hold: StartingHold;

  readonly #budgets = new Map<string, RetryBudget>();

  readonly #ejection = new Ejection();

  readonly #releases = new Map<ModelName, number>();

  readonly #open = new Set<OpenRequest>();

  #deployment: Deployment | undefined;

  #cancelTick: Cancellation | undefined;

  #isRefusing = false;

  #retries: Pick<GatewayOptions, 'retryShare' | 'retrySlack'>;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#retries = options;
    this.#hold = new StartingHold(options.clock);
    this.#table = new ServerTable({
      ...options,
      engineOf: (service) => this.#deployment?.services.get(service)?.engine,
      changed: (view) => this.#releaseAwaiting(view),
      left: (id) => this.#ejection.forget(id),
    });
  }

  /** The backend servers that are known. */
  get servers(): ServerTable {
    return this.#table;
  }

  /** The deployment in force. */
  get deployment(): Deployment | undefined {
    return this.#deployment;
  }

  /** Whether callers' requests can be served. */
  get isReady(): boolean {
    return this.#deployment !== undefined && this.#table.size > 0 && !this.#isRefusing;
  }

  /** Requests that are still owed an answer. */
  get open(): number {
    return this.#open.size;
  }

  /** Begins to watch keepers. */
  start(): void {
    this.#cancelTick = this.#options.clock.schedule(TICK_MS, () => {
      this.#table.tick();
      this.start();
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#cancelTick?.();
    this.#table.close();
  }

  /** Refuses every new request from now on. */
  refuseNew(): void {
    this.#isRefusing = true;
  }

  /** Puts other limits on retries in force; what was saved up is forgotten. */
  applyRetries(retries: Pick<GatewayOptions, 'retryShare' | 'retrySlack'>): void {
    this.#retries = retries;
    this.#budgets.clear();
  }

  /** Puts a deployment in force, unless a newer one is. */
  applyDeployment(deployment: Deployment): void {
    const { log } = this.#options;
    if (this.#deployment !== undefined && deployment.version <= this.#deployment.version) {
      if (deployment.version < this.#deployment.version) {
        log('deploymentOld', { version: deployment.version, inForce: this.#deployment.version });
      }
      return;
    }
    this.#deployment = deployment;
    log('deploymentTaken', { version: deployment.version, routes: deployment.routes.length });
    this.#table.openLinks();
  }

  /** Notes the newest version of an adapter. */
  applyRelease(name: ModelName, version: number): void {
    const known = this.#releases.get(name) ?? 0;
    this.#releases.set(name, Math.max(known, version));
    if (version > known) this.#options.log('releaseTaken', { adapter: name, version });
  }

  /** Serves one request of a caller; right after the start, once it is known whom it can be sent to. */
  handle(caller: CallerRequest): void {
    const acceptedAt = this.#options.clock.now();
    if (this.#mayBegin) {
      this.#begin(caller, acceptedAt);
      return;
    }
    let isGone = false;
    caller.answer.onGone(() => {
      isGone = true;
    });
    const look = (): void => {
      if (isGone) return;
      if (this.#mayBegin) this.#begin(caller, acceptedAt);
      else this.#hold.again(look);
    };
    this.#hold.again(look);
  }

  /** Whether waiting for what a starting process has yet to learn would be in vain. */
  get #mayBegin(): boolean {
    return this.isReady || this.#isRefusing || !this.#hold.isOpen;
  }

  #begin(caller: CallerRequest, acceptedAt: Milliseconds): void {
    const head = decodeRequestHead(caller.headers);
    const { clock } = this.#options;
    const deployment = this.#deployment;
    if (deployment === undefined || this.#isRefusing) {
      const retryMs = this.#isRefusing ? LEAVING_RETRY_MS : STARTING_RETRY_MS;
      answerOwn(caller, 'refused', this.#retryAfter(retryMs, head.deadlineMs));
      this.#logEnd(head.requestId, 'starting', { isLeaving: this.#isRefusing });
      return;
    }
    const route = selectRoute(deployment, head.authority, caller.path);
    const name = route === undefined ? undefined : selectService(route, head.requestId);
    const service = name === undefined ? undefined : deployment.services.get(name);
    if (route === undefined || service === undefined) {
      answerOwn(caller, 'no-route');
      this.#logEnd(head.requestId, 'no-route', { version: deployment.version });
      return;
    }
    const timeMs = Math.min(head.deadlineMs ?? DEFAULT_TIME_MS, route.timeoutMs);
    const dueAt = acceptedAt + timeMs - ANSWER_MARGIN_MS;
    const request: OpenRequest = {
      caller,
      head,
      route,
      service,
      acceptedAt,
      dueAt,
      cutter: route.repeatability === 'resumable' ? new EventCutter() : undefined,
      tried: new Set(),
      mayHaveRun: 0,
      notRun: 0,
      view: undefined,
      sending: undefined,
      sendingNumber: 0,
      sentAt: 0,
      firstByteMs: undefined,
      pieceAt: 0,
      longestPauseMs: 0,
      isStarting: false,
      isAwaiting: false,
      isOver: false,
      cancelTimers: [],
    };
    this.#open.add(request);
    this.#budgetOf(service.name).noteRequest();
    request.cancelTimers.push(clock.schedule(dueAt - clock.now(), () => this.#giveUp(request)));
    caller.answer.onGone(() => this.#end(request, 'caller-gone'));
    this.#place(request);
  }

  #budgetOf(service: string): RetryBudget {
    const { retryShare, retrySlack } = this.#retries;
    const limit = savedRetries({ slack: retrySlack, entries: this.#options.entries() });
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      const perRequest = retryShare * RETRY_SAFETY;
      // Soon after the start, too few of the others may be known to fill it up.
      const initial = savedRetries({ slack: retrySlack, entries: undefined });
      budget = new RetryBudget({ perRequest, limit, initial });
      this.#budgets.set(service, budget);
    }
    budget.applyLimit(limit);
    return budget;
  }

  #viewsOf(service: Service, tried: ReadonlySet<string>): readonly ServerView[] {
    const now = this.#options.clock.now();
    const all = this.#table.viewsOf(service).filter(({ server }) => !tried.has(server.id));
    const sound = all.filter(({ server }) => !this.#ejection.isEjected(server.id, now));
    return sound.length > 0 ? sound : all;
  }

  #minVersion(name: ModelName | undefined): number {
    return name === undefined ? 0 : (this.#releases.get(name) ?? 0);
  }

  /** Chooses where a request goes now. */
  #place(request: OpenRequest): void {
    const { service, head, route } = request;
    const { engine } = service;
    const modelName = engine === undefined ? undefined : head.modelName;
    const minVersion = this.#minVersion(modelName);
    const now = this.#options.clock.now();
    const leftMs = request.dueAt - now;
    const maxLoadWaitMs = Math.min(leftMs / 2, route.objectiveMs * LOAD_WAIT_SHARE);
    const choice = chooseServer(
      {
        ...(modelName === undefined ? {} : { modelName }),
        ...(head.promptTokens === undefined ? {} : { promptTokens: head.promptTokens }),
        minVersion,
        batchWidth: engine?.batchWidth ?? 1,
        maxLoadWaitMs,
        now,
        availabilityZone: this.#options.availabilityZone,
      },
      this.#viewsOf(service, request.tried),
    );
    this.#options.log('requestPlaced', describeChoice(request, choice, now, this.#deployment));
    if (choice.kind === 'refuse' && this.#hold.isOpen && request.tried.size === 0) {
      this.#hold.again(() => {
        if (!request.isOver) this.#place(request);
      });
    } else if (choice.kind === 'refuse') {
      this.#refuse(request, choice.reason, choice.retryAfterMs);
    } else if (choice.kind === 'load') {
      this.#awaitAdapter(request, choice.view, maxLoadWaitMs);
    } else {
      if (choice.replicateAt !== undefined && modelName !== undefined) {
        this.#table.want(choice.replicateAt, modelName, minVersion, maxLoadWaitMs);
      }
      this.#send(request, choice.view);
    }
  }

  #awaitAdapter(request: OpenRequest, view: ServerView, waitMs: Milliseconds): void {
    const { clock } = this.#options;
    request.view = view;
    request.isAwaiting = true;
    const name = request.head.modelName ?? '';
    this.#table.want(view, name, this.#minVersion(name), waitMs);
    request.cancelTimers.push(
      clock.schedule(waitMs, () => {
        if (request.isAwaiting && request.view === view) {
          this.#refuse(request, 'load-late', LOAD_LATE_RETRY_MS);
        }
      }),
    );
  }

  #send(request: OpenRequest, view: ServerView): void {
    const { clock } = this.#options;
    const { head, caller, route } = request;
    const number = request.sendingNumber + 1;
    const now = clock.now();
    request.view = view;
    request.isAwaiting = false;
    request.sendingNumber = number;
    request.sentAt = now;
    request.isStarting = true;
    view.starting += 1;
    this.#table.noteSent(view, head.modelName);
    const version = this.#minVersion(head.modelName);
    request.sending = this.#table.connectionsOf(view.server).send(
      {
        method: caller.method,
        path: caller.path,
        headers: encodeRequestHeaders(head, {
          deadlineMs: request.dueAt - now,
          serverId: view.server.id,
          ...(version > 0 && { version }),
          ...(request.cutter?.lastId !== undefined && { lastEventId: request.cutter.lastId }),
          ...(request.service.engine !== undefined && {
            priority: Math.min(LAST_PRIORITY, route.priority),
          }),
        }),
        body: caller.body,
        needsLiveConnection: route.repeatability === 'once',
      },
      passAnswer({
        request,
        clock,
        answered: (status) => {
          if (status !== MISDIRECTED_STATUS || head.modelName === undefined) return;
          view.noteLacking(head.modelName, clock.now());
        },
        passed: () => {
          caller.answer.end();
          this.#ejection.note(view.server.id, DONE, clock.now());
          this.#end(request, 'answered');
        },
        finished: (end, detail) => this.#finishSending(request, end, detail),
      }),
    );
    this.#watchSilence(request, number);
  }

  /** Sends what may be repeated elsewhere when its server stays silent. */
  #watchSilence(request: OpenRequest, number: number): void {
    const { route } = request;
    if (route.repeatability === 'once') return;
    const silentMs = Math.max(LEAST_SILENCE_MS, route.objectiveMs * SILENT_OBJECTIVES);
    request.cancelTimers.push(
      this.#options.clock.schedule(silentMs, () => {
        const isCurrent = !request.isOver && request.sendingNumber === number;
        if (!isCurrent || request.isAwaiting || request.caller.answer.hasBegun()) return;
        if (!mayRunAgain({ ...route, mayHaveRun: request.mayHaveRun + 1 })) return;
        request.sending?.abort();
        this.#finishSending(request, 'unknown', `no answer within ${silentMs} ms`);
      }),
    );
  }

  /** Decides what follows a sending that brought no whole answer. */
  #finishSending(request: OpenRequest, end: SendingEnd, detail: string): void {
    const { clock, log, metrics } = this.#options;
    const { view, head, route } = request;
    noteBegun(request);
    if (view !== undefined) {
      this.#table.noteEnded(view, head.modelName);
      request.tried.add(view.server.id);
      if (end === 'unknown') {
        this.#ejection.note(view.server.id, unknown('reply-lost', ''), clock.now());
      }
      if (end === 'failed') {
        this.#ejection.note(view.server.id, failed('backend-error', ''), clock.now());
      }
    }
    request.view = undefined;
    request.sending = undefined;
    request.sendingNumber += 1;
    if (end === 'unknown' || end === 'failed') request.mayHaveRun += 1;
    else request.notRun += 1;
    metrics.count('sendings_ended_total', { end });
    log('sendingEnded', {
      request: head.requestId,
      server: view?.server.id,
      end,
      detail,
      tookMs: Math.round(clock.now() - request.sentAt),
    });
    request.cutter?.dropRest();
    if (request.caller.answer.hasBegun() && request.cutter === undefined) {
      this.#breakOff(request);
      return;
    }
    const step = nextStep(end, {
      repeatability: route.repeatability,
      mayHaveRun: request.mayHaveRun,
      notRun: request.notRun,
      maxAttempts: route.maxAttempts,
      isLate: clock.now() >= request.dueAt,
    });
    const isFree = end === 'not-sent';
    if (step === 'again' && (isFree || this.#budgetOf(request.service.name).tryRetry())) {
      this.#place(request);
    } else if (request.caller.answer.hasBegun()) {
      this.#breakOff(request);
    } else if (request.mayHaveRun === 0) {
      this.#refuse(request, step === 'again' ? 'retry-budget' : end, NOT_RUN_RETRY_MS);
    } else {
      answerOwn(request.caller, 'unknown');
      this.#end(request, 'unknown');
    }
  }

  /** Ends an answer that has begun and can't become whole. */
  #breakOff(request: OpenRequest): void {
    request.caller.answer.breakOff();
    this.#end(request, 'broken-off');
  }

  /** Gives the final answer of a request whose time is over. */
  #giveUp(request: OpenRequest): void {
    if (request.isOver) return;
    if (request.caller.answer.hasBegun()) {
      this.#breakOff(request);
    } else if (request.mayHaveRun === 0 && request.sending === undefined) {
      this.#refuse(request, 'deadline', NOT_RUN_RETRY_MS);
    } else {
      if (request.view !== undefined) {
        this.#ejection.note(
          request.view.server.id,
          unknown('reply-lost', ''),
          this.#options.clock.now(),
        );
      }
      answerOwn(request.caller, 'late');
      this.#end(request, 'unknown');
    }
  }

  /** Spreads the return of callers, and keeps it within what they heed: a third of their time. */
  #retryAfter(retryMs: Milliseconds, leftMs: Milliseconds = DEFAULT_TIME_MS): Milliseconds {
    const spread = retryMs * (1 + this.#options.random() / 2);
    return Math.max(0, Math.min(spread, leftMs * HEEDED_SHARE));
  }

  #refuse(request: OpenRequest, reason: string, retryAfterMs: Milliseconds): void {
    if (request.caller.answer.hasBegun()) {
      this.#breakOff(request);
      return;
    }
    if (request.mayHaveRun > 0 && request.route.repeatability === 'once') {
      answerOwn(request.caller, 'unknown');
      this.#end(request, 'unknown', { reason });
      return;
    }
    const leftMs = request.dueAt - this.#options.clock.now();
    answerOwn(request.caller, 'refused', this.#retryAfter(retryAfterMs, leftMs));
    this.#end(request, 'refused', { reason });
  }

  #end(request: OpenRequest, end: RequestEnd, fields: { readonly reason?: string } = {}): void {
    if (request.isOver) return;
    request.isOver = true;
    request.cancelTimers.forEach((cancel) => cancel());
    this.#open.delete(request);
    const { view, head, sending } = request;
    noteBegun(request);
    if (sending !== undefined && view !== undefined) {
      if (end !== 'answered') sending.abort();
      this.#table.noteEnded(view, head.modelName);
    }
    const tookMs = this.#options.clock.now() - request.acceptedAt;
    this.#options.metrics.record('request_ms', tookMs, { route: request.route.name, end });
    this.#logEnd(head.requestId, end, {
      ...fields,
      ...describeEnd(request, tookMs, this.#deployment),
    });
  }

  #logEnd(request: string, end: RequestEnd, fields: Parameters<Log>[1]): void {
    this.#options.metrics.count('requests_total', { end });
    this.#options.log('gatewayRequestEnded', { request, end, ...fields });
  }

  /** Sends the requests whose adapter has come to a server, or places them anew. */
  #releaseAwaiting(view: ServerView): void {
    for (const request of [...this.#open]) {
      if (!request.isAwaiting || request.view !== view) continue;
      const name = request.head.modelName ?? '';
      const isHeld = view.holds(name, this.#minVersion(name));
      if (isHeld && view.isReady) this.#send(request, view);
      else if (view.keeper === undefined || !view.isReady) {
        request.isAwaiting = false;
        this.#place(request);
      }
    }
  }
}
