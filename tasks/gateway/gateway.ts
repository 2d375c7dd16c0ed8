import type { CallerRequest, EarlyRequest } from '../../proxy/mod.ts';
import type { Cancellation, Milliseconds } from '../../core/clock/mod.ts';
import type { ServerChoice } from '../../core/dispatch/mod.ts';
import type { Deployment, ModelName } from '../../core/serving/mod.ts';
import { repeatSteps } from '../_repeatSteps.ts';
import { AdapterVersions } from './_adapterVersions.ts';
import { AdapterWaits } from './_adapterWaits.ts';
import { AdmissionQueue } from './_admissionQueue.ts';
import { Attempts } from './_attempts.ts';
import { CallerGate } from './_callerGate.ts';
import { CrashGuard } from './_crashGuard.ts';
import { describeChoice } from './_describeRequest.ts';
import { maxWaitBeforeSending } from './_openRequest.ts';
import type { OpenRequest, RequestEnd } from './_openRequest.ts';
import { clearAwaitingFirstByte } from './_forwardResponse.ts';
import type { GatewayOptions } from './gatewayOptions.ts';
import { LimitGate } from './_limitGate.ts';
import { FactKeeping } from './_factKeeping.ts';
import { PauseWaits } from './_pauseWaits.ts';
import { QuarantineGate } from './_quarantineGate.ts';
import type { PeerServices, SharedStates } from './peerTask.ts';
import { retryDelayMs } from './_retryAfter.ts';
import { RequestAcceptance } from './_requestAcceptance.ts';
import { RequestEndings } from './_requestEndings.ts';
import { RetryBudgets } from './_retryBudgets.ts';
import type { RetryLimits } from './_retryBudgets.ts';
import { ServerAccess } from './_serverAccess.ts';
import type { AccessibleServers } from './_serverAccess.ts';
import { ServerHealth } from './_serverHealth.ts';
import { ServerLimits } from './_serverLimits.ts';
import { ServerNotices } from './_serverNotices.ts';
import { ServerRooms } from './_serverRooms.ts';
import type { RoomPreference } from './_serverRooms.ts';
import { ServerTable } from './_serverTable.ts';
import { StartupHold } from './_startupHold.ts';
import { StreamVersions } from './_streamVersions.ts';
import { TenantMetrics } from './_tenantMetrics.ts';
import { TokenLimitGate } from './_tokenLimitGate.ts';

/** Interval at which silent keepers and expired servers are detected. */
const TICK_INTERVAL_MS: Milliseconds = 150;

/** A choice of a server, and what it rests on. */
type FoundChoice = {
  readonly choice: ServerChoice;
  readonly passedOver: Omit<AccessibleServers, 'open'>;
  readonly preference: RoomPreference;
  readonly modelName: ModelName | undefined;
  readonly minVersion: number;
  readonly maxWaitMs: Milliseconds;
};

/** Proxies callers' requests to backend servers: chooses a server, retries, and responds. */
export class Gateway {
  readonly #options: GatewayOptions;

  readonly #table: ServerTable;

  readonly #hold: StartupHold;

  readonly #rooms: ServerRooms;

  readonly #retryBudgets: RetryBudgets;

  readonly #health: ServerHealth;

  readonly #limits: ServerLimits;

  readonly #notices: ServerNotices;

  readonly #access: ServerAccess;

  readonly #limitGate: LimitGate;

  readonly #pauseWaits: PauseWaits;

  readonly #adapterWaits: AdapterWaits;

  readonly #guard: CrashGuard;

  readonly #gate: QuarantineGate;

  readonly #callers: CallerGate;

  readonly #tenantMetrics: TenantMetrics;

  readonly #adapterVersions: AdapterVersions;

  readonly #streamVersions: StreamVersions;

  readonly #acceptance: RequestAcceptance;

  readonly #attempts: Attempts;

  readonly #admission: AdmissionQueue;

  readonly #tokenLimits: TokenLimitGate;

  readonly #openRequests = new Set<OpenRequest>();

  readonly #endings: RequestEndings;

  readonly #facts: FactKeeping;

  #deployment: Deployment | undefined;

  #cancelTick: Cancellation | undefined;

  #isRefusing = false;

  constructor(options: GatewayOptions) {
    this.#options = options;
    const common = {
      recordsAgeMs: () => 0,
      ...options,
      self: options.peerName ?? options.entryId,
      incarnation: options.entryId,
      peers: options.peerNames,
      reach: options.peerReach,
      onChange: () => this.#facts.noteChange(),
      keepers: () => this.#table.keepers,
      dispatch: (request: OpenRequest): void => this.#dispatch(request),
    };
    this.#facts = new FactKeeping({ ...common, shared: () => this.sharedStates });
    this.#rooms = new ServerRooms({
      ...options,
      deployment: () => this.#deployment,
      reportWork: (view, work) => this.#table.reportWork(view, work),
    });
    this.#retryBudgets = new RetryBudgets(options);
    this.#health = new ServerHealth(options.clock);
    this.#endings = new RequestEndings({
      ...options,
      deployment: () => this.#deployment,
      describeConfiguration: () => this.#callers.describeAge(),
      onLate: (view) => this.#health.noteFailure(view.server.id, 'unknown'),
      onFinished: (request, end) => this.#release(request, end),
    });
    this.#callers = new CallerGate({
      log: options.log,
      metrics: options.metrics,
      configurationAgeMs: () => 0,
      ...options.keyPolicy,
      deployment: () => this.#deployment,
      reject: (request) => this.#endings.reject(request),
      refuse: (request) =>
        this.#endings.refuse(request, 'stale-configuration', retryDelayMs('stale')),
    });
    this.#tenantMetrics = new TenantMetrics(options);
    this.#limits = new ServerLimits({
      ...common,
      onAnswer: ({ server }) => this.#limitGate.noteAnswer(server),
    });
    this.#notices = new ServerNotices({
      ...common,
      onBlocked: (id) => this.#redispatchFrom(id),
    });
    this.#access = new ServerAccess({ clock: options.clock, notices: this.#notices.registry });
    this.#limitGate = new LimitGate({
      ...common,
      limits: this.#limits,
      refuse: (request, retryAfterMs) =>
        this.#endings.refuse(request, 'server-limit', retryAfterMs),
    });
    this.#adapterVersions = new AdapterVersions(options.log);
    this.#streamVersions = new StreamVersions({
      ...common,
      refuse: (request) => this.#endings.refuse(request, 'origin-unknown', undefined),
    });
    this.#hold = new StartupHold(options.clock);
    this.#table = new ServerTable({
      ...options,
      engineOf: (service) => this.#deployment?.services.get(service)?.engine,
      onServerChange: (view) => {
        this.#adapterWaits.noteServerChange(view, this.#openRequests);
        this.#admission.noteCapacity(view.server.service);
      },
      onServerRecord: (server) => {
        this.#admission.noteCapacity(server.service);
        this.#notices.noteRecord(server);
        this.#streamVersions.noteServer(server);
      },
      origins: () => this.#streamVersions.origins,
      facts: () => this.#facts,
      rooms: this.#rooms,
      onServerRestarted: (id) => this.#limits.noteRestart(id),
      onServerRemoved: (id) => {
        this.#health.forget(id);
        this.#limits.forget(id);
        this.#rooms.forget(id);
        this.#admission.forget(id);
      },
    });
    this.#guard = new CrashGuard({
      ...common,
      openRequests: this.#openRequests,
      onServerEnd: (id) => {
        if (this.#table.has(id)) this.#health.noteUnreachable(id);
      },
      onQuarantined: (trait) => this.#gate.rejectAll(trait, this.#openRequests),
    });
    this.#adapterWaits = new AdapterWaits({
      ...common,
      minVersionOf: (name) => this.#adapterVersions.minOf(name),
      isAccessible: (view) => this.#access.blockOf(view) === undefined,
      isOpen: (view) => this.#limits.isOpen(view.server.id),
      send: (request, view) => {
        if (this.#gate.isAdmitted(request)) this.#attempts.send(request, view);
      },
      refuse: (request) => this.#endings.refuse(request, 'load-late', retryDelayMs('load-late')),
    });
    this.#pauseWaits = new PauseWaits({
      ...common,
      refuse: (request, retryAfterMs) =>
        this.#endings.refuse(request, 'server-paused', retryAfterMs),
    });
    this.#gate = new QuarantineGate({
      ...common,
      guard: this.#guard,
      refuse: (request) => this.#endings.refuse(request, 'suspect', retryDelayMs('not-run')),
      abortResponse: (request) => this.#endings.abortResponse(request),
      finish: (request, end, reason) => this.#endings.finish(request, end, { reason }),
    });
    this.#acceptance = new RequestAcceptance({
      ...options,
      hold: this.#hold,
      callers: this.#callers,
      endings: this.#endings,
      deployment: () => this.#deployment,
      isRefusing: () => this.#isRefusing,
      isReady: () => this.isReady,
      onAccepted: (request) => this.#noteAccepted(request),
      dispatch: (request) => this.#tokenLimits.admit(request),
    });
    this.#tokenLimits = new TokenLimitGate({
      ...common,
      deployment: () => this.#deployment,
      configurationAgeMs: options.keyPolicy?.configurationAgeMs ?? (() => 0),
      refuse: (request, retryAfterMs, fields) => this.#endings.limit(request, retryAfterMs, fields),
    });
    this.#admission = new AdmissionQueue({
      ...options,
      deployment: () => this.#deployment,
      viewsOf: (service) => this.#table.viewsOf(service),
      loadOf: (view, service) => this.#rooms.roomOf(view, service),
      findStart: (request) => this.#findStart(request),
      refuse: (request, reason, retryAfterMs) =>
        this.#endings.refuse(request, reason, retryAfterMs, { isExact: true }),
    });
    this.#attempts = new Attempts({
      ...common,
      access: this.#access,
      adapterVersions: this.#adapterVersions,
      admission: this.#admission,
      callers: this.#callers,
      endings: this.#endings,
      guard: this.#guard,
      health: this.#health,
      limits: this.#limits,
      notices: this.#notices,
      retryBudgets: this.#retryBudgets,
      rooms: this.#rooms,
      streamVersions: this.#streamVersions,
      table: this.#table,
      tokenLimits: this.#tokenLimits,
    });
  }

  /** What the entries tell each other. */
  get sharedStates(): SharedStates {
    return {
      quarantine: this.#guard.quarantine,
      requests: this.#guard.requestQuarantine,
      limits: this.#limits.registry,
      notices: this.#notices.registry,
    };
  }

  /** What the other entries ask this one for. */
  get peerServices(): PeerServices {
    return {
      permits: this.#limits.permits,
      leases: this.#tokenLimits.task,
      origins: this.#streamVersions.origins,
    };
  }

  /** The known backend servers. */
  get servers(): ServerTable {
    return this.#table;
  }

  /** The deployment in force. */
  get deployment(): Deployment | undefined {
    return this.#deployment;
  }

  /** Whether the gateway can serve requests. */
  get isReady(): boolean {
    return (
      this.#deployment !== undefined &&
      this.#table.size > 0 &&
      !this.#isRefusing &&
      this.#callers.canServeKeys
    );
  }

  /** Number of requests without a final response. */
  get openRequestCount(): number {
    return this.#openRequests.size;
  }

  /** Starts to monitor keepers and servers. */
  start(): void {
    this.#limits.permits.start();
    this.#tokenLimits.task.start();
    this.#streamVersions.origins.start();
    this.#cancelTick = repeatSteps({
      ...this.#options,
      task: 'gateway',
      intervalMs: () => TICK_INTERVAL_MS,
      steps: [
        () => this.#table.tick(),
        () => this.#rooms.tick(this.#table.views),
        () => this.#guard.tick(),
        () => this.#callers.tick(),
        () => this.#notices.tick((id) => this.#table.has(id)),
        () => this.#table.servers.forEach((server) => this.#streamVersions.noteServer(server)),
      ],
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#cancelTick?.();
    this.#limits.permits.close();
    this.#tokenLimits.task.close();
    this.#streamVersions.origins.close();
    this.#facts.close();
    this.#rooms.close();
    this.#table.close();
  }

  /** Ends all open requests, since the process is about to stop. */
  endOpenRequests(): void {
    [...this.#openRequests].forEach((request) => this.#endings.giveUp(request, 'stopping'));
  }

  /** Refuses all further requests. */
  refuseNew(): void {
    this.#isRefusing = true;
    this.#admission.drain();
  }

  /** Applies new retry limits and discards the budgets accumulated under the old ones. */
  applyRetryLimits(limits: RetryLimits): void {
    this.#retryBudgets.applyLimits(limits);
  }

  /** Applies a deployment, unless its version is not newer than the current one. */
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

  /** Records the newest version of an adapter; an older version is ignored. */
  applyRelease(name: ModelName, version: number): void {
    this.#adapterVersions.apply(name, version);
  }

  /** Serves one request. Shortly after the start, holds it until servers are known. */
  handle(caller: CallerRequest): void {
    this.#acceptance.handle(caller);
  }

  /** Responds to a request whose body has not arrived if its caller is not admitted; returns whether it did. */
  rejectEarly(caller: EarlyRequest): boolean {
    return this.#acceptance.rejectEarly(caller);
  }

  /** Records a request whose caller left before it could be handled. */
  noteCallerGone(caller: CallerRequest): void {
    this.#acceptance.noteCallerGone(caller);
  }

  #noteAccepted(request: OpenRequest): void {
    this.#openRequests.add(request);
    this.#guard.noteArrival(request);
    this.#retryBudgets.of(request.service.name).noteRequest();
  }

  #candidatesOf(request: OpenRequest): AccessibleServers {
    const accessible = this.#access.select(this.#table.viewsOf(request.service), request);
    return { ...accessible, open: this.#health.preferHealthy(accessible.open) };
  }

  /** Chooses again for the requests that wait for a server which gets no more. */
  #redispatchFrom(serverId: string): void {
    const view = this.#table.viewOf(serverId);
    if (view !== undefined) this.#adapterWaits.noteServerChange(view, this.#openRequests);
    this.#limitGate.noteBlocked(serverId);
  }

  /** Chooses a server and sends the request, waits for an adapter, or refuses. */
  #dispatch(request: OpenRequest): void {
    const choice = this.#choose(request);
    if (choice !== undefined) this.#carryOut(request, choice);
  }

  /** Returns how to start a request that waits in the queue; `undefined` if it must go on waiting. */
  #findStart(request: OpenRequest): (() => void) | undefined {
    const choice = this.#choose(request);
    if (choice === undefined) return () => {};
    return choice.choice.kind === 'wait' ? undefined : () => this.#carryOut(request, choice);
  }

  /** Chooses a server for a request; `undefined` if it has ended or waits for something else. */
  #choose(request: OpenRequest): FoundChoice | undefined {
    const { service, head } = request;
    const { engine } = service;
    const modelName = engine === undefined ? undefined : head.modelName;
    const minVersion = this.#adapterVersions.minOf(modelName);
    const now = this.#options.clock.now();
    if (request.deadlineAt <= now) {
      this.#endings.expire(request);
      return undefined;
    }
    if (!this.#streamVersions.isKnown(request) || !this.#gate.isAdmitted(request)) return undefined;
    const maxWaitMs = maxWaitBeforeSending(request, now);
    const { open: candidates, ...passedOver } = this.#candidatesOf(request);
    const preference = this.#rooms.preferenceFor(request);
    const choice = this.#admission.choose(
      request,
      {
        ...(modelName === undefined ? {} : { modelName }),
        ...(head.promptTokens === undefined ? {} : { promptTokens: head.promptTokens }),
        minVersion,
        batchWidth: engine?.batchWidth ?? 1,
        maxLoadWaitMs: maxWaitMs,
        now,
        availabilityZone: this.#options.availabilityZone,
        limited: this.#limitGate.limitedServers(request, candidates),
        ...(preference.pick !== undefined && { pick: preference.pick }),
      },
      candidates,
    );
    return { choice, passedOver, preference, modelName, minVersion, maxWaitMs };
  }

  /** Sends a request as chosen, has it wait, or refuses it. */
  #carryOut(request: OpenRequest, found: FoundChoice): void {
    const { choice, passedOver, preference, modelName, minVersion, maxWaitMs } = found;
    const described = {
      now: this.#options.clock.now(),
      blocks: passedOver.blocks,
      deployment: this.#deployment,
    };
    const fields = { ...describeChoice(request, choice, described), ...preference.describe?.() };
    this.#options.log('requestPlaced', fields);
    if (choice.kind === 'refuse' && this.#hold.isActive && request.triedServerIds.size === 0) {
      this.#hold.recheckLater(() => {
        if (!request.isFinished) this.#dispatch(request);
      });
    } else if (choice.kind === 'refuse' && passedOver.hasNoVersion) {
      this.#endings.refuse(request, 'no-version', undefined);
    } else if (choice.kind === 'refuse' && passedOver.pauseLeftMs !== undefined) {
      this.#pauseWaits.hold(request, passedOver.pauseLeftMs, maxWaitMs);
    } else if (choice.kind === 'refuse') {
      this.#endings.refuse(request, choice.reason, choice.retryAfterMs);
    } else if (choice.kind === 'wait') {
      this.#admission.hold(request, choice.reason);
    } else if (choice.kind === 'await-permit') {
      if (choice.isBrief) this.#limitGate.holdBriefly(request, choice.views);
      else this.#limitGate.hold(request, choice.views, maxWaitMs);
    } else if (choice.kind === 'load') {
      this.#table.requestAdapter(choice.view, modelName ?? '', minVersion, maxWaitMs);
      this.#adapterWaits.hold(request, choice.view, maxWaitMs);
    } else {
      if (choice.replicaTarget !== undefined && modelName !== undefined) {
        this.#table.requestAdapter(choice.replicaTarget, modelName, minVersion, maxWaitMs);
      }
      this.#attempts.send(request, choice.view);
    }
  }

  /** Releases what an ended request used. */
  #release(request: OpenRequest, end: RequestEnd): void {
    this.#openRequests.delete(request);
    this.#tenantMetrics.note(request, end);
    this.#limitGate.forget(request);
    this.#admission.noteEnded(request, end);
    this.#tokenLimits.release(request);
    clearAwaitingFirstByte(request);
    this.#rooms.noteEnded(request, end === 'answered');
    const { view, head, attempt } = request;
    if (attempt === undefined || view === undefined) return;
    if (end !== 'answered') attempt.abort();
    this.#table.noteEnded(view, head.modelName);
  }
}
