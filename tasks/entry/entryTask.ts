import { BurnRecorder } from '../../core/burn/mod.ts';
import type { BurnSnapshot } from '../../core/burn/mod.ts';
import { RetryBudget } from '../../core/admission/mod.ts';
import type { Clock } from '../../core/clock/mod.ts';
import type { AdapterVersion, ExchangeId } from '../../core/identity/mod.ts';
import type { LimitUse } from '../../core/limits/mod.ts';
import type { ExchangeEvent, Identity, LinkTiming, SetFrame } from '../../core/link/mod.ts';
import { Membership } from '../../core/membership/mod.ts';
import type { ListedHost, MembershipChange } from '../../core/membership/mod.ts';
import { failed, isRetryable, notRun, unknown } from '../../core/outcome/mod.ts';
import type { NotRun, Outcome } from '../../core/outcome/mod.ts';
import type { PublishedSet } from '../../core/set/mod.ts';
import type { Log } from '../../log/mod.ts';
import { dispatch } from '../_handlers.ts';
import type { Handlers } from '../_handlers.ts';
import { Mailbox } from '../mailbox/mod.ts';
import type { Dial } from '../ports/mod.ts';
import type { SetEvent } from '../set/mod.ts';
import { callForHost, createOpenRequest, verifyResponse } from './_openRequest.ts';
import type { AdmittedRequest, OpenRequest } from './_openRequest.ts';
import { keyedOutcome } from './_keyedOutcome.ts';
import { LinkTable } from './_linkTable.ts';
import { planCall } from './_planCall.ts';
import { createRequestSample, recordTokenTime } from './_requestSample.ts';
import { Router } from './_router.ts';
import { TenantLimits } from './_tenantLimits.ts';
import { LinkTask } from './linkTask.ts';
import type { LinkEvent, LinkStatus } from './linkTask.ts';
import type { Submission, SubmissionEvent } from './request.ts';
import { UNKNOWN_TOKEN } from './unknownToken.ts';

/** Options of an `EntryTask`. */
export type EntryTaskOptions = {
  readonly clock: Clock;
  readonly identity: Identity;
  readonly availabilityZone: string;
  /** Shared link keys; the first one signs handshakes. */
  readonly linkKeys: readonly string[];
  readonly nonce: () => string;
  readonly dial: Dial;
  readonly log: Log;
  readonly linkTiming?: LinkTiming;
  /** Maximum number of attempts per request, each on a different host. @default 3 */
  readonly maxAttempts?: number;
};

/** An entry's status, as shown to operators. */
export type EntryStatus = {
  readonly identity: Identity;
  readonly generation: number;
  readonly digest: string;
  readonly openRequests: number;
  readonly leaving: boolean;
  readonly links: readonly LinkStatus[];
};

/** A read-only view of an entry's state. */
export type EntryInspection = {
  readonly set: PublishedSet | undefined;
  readonly membership: Membership;
  readonly statuses: readonly LinkStatus[];
  readonly limits: readonly LimitUse[];
  /** Returns the host that a request for an adapter version would be sent to now. */
  readonly choose: (pool: string, adapterVersion: AdapterVersion) => string | undefined;
};

type Message =
  | { readonly kind: 'hosts'; readonly hosts: readonly ListedHost[] }
  | { readonly kind: 'set'; readonly set: PublishedSet }
  | { readonly kind: 'submit'; readonly submission: Submission }
  | { readonly kind: 'abandon'; readonly requestId: string }
  | { readonly kind: 'deadline'; readonly requestId: string }
  | { readonly kind: 'leave'; readonly onDrained: () => void }
  | LinkEvent;

/** Delay after which a request that could not be served yet may be retried. */
const RETRY_AFTER_MS = 500;

/** Epochs reserved per link, so that a reopened link to a host starts above the earlier ones. */
const EPOCHS_PER_LINK = 1_000_000;

/** Serves callers' requests through the links to all sidecars. */
export class EntryTask {
  readonly #options: EntryTaskOptions;

  readonly #mailbox: Mailbox<Message>;

  readonly #membership = new Membership();

  readonly #links = new LinkTable();

  readonly #statuses = new Map<string, LinkStatus>();

  readonly #requests = new Map<string, OpenRequest>();

  readonly #requestsByExchange = new Map<ExchangeId, OpenRequest>();

  readonly #router: Router;

  readonly #retryBudget = new RetryBudget();

  readonly #burn: BurnRecorder;

  readonly #limits = new TenantLimits();

  #set: PublishedSet | undefined;

  #exchangeCount = 0;

  #openedLinkCount = 0;

  #onDrained: (() => void) | undefined;

  #onSetEvent: ((event: SetEvent) => void) | undefined;

  constructor(options: EntryTaskOptions) {
    this.#options = options;
    const { clock, identity } = options;
    this.#router = new Router({
      clock,
      membership: this.#membership,
      statuses: this.#statuses,
      availabilityZone: options.availabilityZone,
    });
    this.#burn = new BurnRecorder({ identity, startedAt: clock.now() });
    this.#mailbox = new Mailbox<Message>({
      handle: (message) => dispatch(this.#handlers, message),
      onError: (error) => options.log('internalError', { detail: String(error) }),
    });
  }

  /** Applies a new host list. */
  applyHosts(hosts: readonly ListedHost[]): void {
    this.#mailbox.post({ kind: 'hosts', hosts });
  }

  /** Applies a published set; a set whose generation is not higher is ignored. */
  applySet(set: PublishedSet): void {
    this.#mailbox.post({ kind: 'set', set });
  }

  /** Sets the listener for set events from the links to sidecars. */
  subscribeSetEvents(onSetEvent: (event: SetEvent) => void): void {
    this.#onSetEvent = onSetEvent;
  }

  /** Sends a set frame to a sidecar. */
  sendSet(host: string, frame: SetFrame): void {
    this.#links.get(host)?.sendSet(frame);
  }

  /** Serves a request; its events end with exactly one `final`. */
  submit(submission: Submission): void {
    this.#mailbox.post({ kind: 'submit', submission });
  }

  /** Cancels a request whose caller has disconnected. */
  abandon(requestId: string): void {
    this.#mailbox.post({ kind: 'abandon', requestId });
  }

  /** Drains: refuses new requests and calls `onDrained` when the last open one has ended. */
  leave(onDrained: () => void): void {
    this.#mailbox.post({ kind: 'leave', onDrained });
  }

  /** Closes all links. */
  stop(): void {
    this.#mailbox.close();
    this.#links.stop();
  }

  /** Returns a snapshot for operators. */
  status(): EntryStatus {
    return {
      identity: this.#options.identity,
      generation: this.#set?.generation ?? 0,
      digest: this.#set?.digest ?? '',
      openRequests: this.#requests.size,
      leaving: this.#onDrained !== undefined,
      links: [...this.#statuses.values()],
    };
  }

  /** Returns a view of the hosts, the set and the routing choice. */
  inspect(): EntryInspection {
    const statuses = [...this.#statuses.values()];
    const limits = this.#limits.uses(this.#options.clock.now());
    const choose: EntryInspection['choose'] = (pool, adapterVersion) =>
      this.#router.choose({
        destination: { kind: 'pool', pool, adapterVersion },
        triedHosts: new Set(),
      });
    return { set: this.#set, membership: this.#membership, statuses, limits, choose };
  }

  /** The hosts of the platform's host list. */
  get members(): readonly ListedHost[] {
    return this.#membership.members;
  }

  /** Returns this process's snapshot of error budget burn. */
  burn(): BurnSnapshot {
    return this.#burn.snapshot(this.#options.clock.now());
  }

  /** Returns what a caller may use as `model`: its tenant's routes, and own or shared adapters. */
  modelsOf(tokenSha256: string): readonly string[] {
    const set = this.#set;
    const caller = set?.callersByToken.get(tokenSha256);
    if (set === undefined || caller === undefined) return [];
    const routes = [...set.routes.values()].filter((route) => route.tenant === caller.tenant);
    const adapters = [...set.adapters.values()].filter(
      (adapter) => adapter.shared || adapter.tenant === caller.tenant,
    );
    const versions = adapters.flatMap((adapter) =>
      adapter.versions.map((version) => `${adapter.name}@${version}`),
    );
    return [...routes.map((route) => route.name), ...versions];
  }

  /** Returns whether a token may belong to a caller; true for every token until a set is in force. */
  mayBeCallerToken(tokenSha256: string): boolean {
    return this.#set === undefined || this.#set.callersByToken.has(tokenSha256);
  }

  readonly #handlers: Handlers<Message, void> = {
    hosts: ({ hosts }) => {
      this.#limits.applyHosts(hosts);
      this.#membership.applyList(hosts).forEach((change) => this.#applyChange(change));
    },
    set: ({ set }) => this.#applySet(set),
    submit: ({ submission }) => this.#accept(submission),
    abandon: ({ requestId }) => this.#abandon(requestId),
    deadline: ({ requestId }) => this.#expire(requestId),
    leave: ({ onDrained }) => {
      this.#onDrained = onDrained;
      this.#checkDrained();
    },
    'link-status': ({ status }) => this.#handleLinkStatus(status),
    'set-frame': ({ host, frame }) => this.#onSetEvent?.({ kind: 'peer-frame', peer: host, frame }),
    'exchange-event': ({ exchange, event }) => this.#handleExchangeEvent(exchange, event),
  };

  #applySet(set: PublishedSet): void {
    if (set.generation <= (this.#set?.generation ?? 0)) return;
    this.#set = set;
    this.#router.applySet(set);
    this.#burn.applyObjectives(set.objectives);
    this.#limits.applySet(set, this.#options.clock.now());
    const { generation, digest } = set;
    this.#links.current.forEach((link) => link.updateOwnSet({ generation, digest }));
  }

  #applyChange(change: MembershipChange): void {
    const host = change.kind === 'left' ? change.host : change.member.host;
    if (change.kind !== 'joined') this.#closeLink(host);
    if (change.kind !== 'left' && change.member.role === 'sidecar') this.#openLink(change.member);
  }

  #openLink(member: ListedHost): void {
    const { clock, dial, identity, linkKeys, linkTiming, log, nonce } = this.#options;
    const link = new LinkTask({
      clock,
      dial,
      identity,
      log,
      nonce,
      keys: linkKeys,
      target: member.host,
      address: member.address,
      demand: () => this.#limits.demandFor(member.host, clock.now()),
      afterEpoch: this.#openedLinkCount * EPOCHS_PER_LINK,
      onEvent: (event) => {
        const isRetired = this.#links.get(member.host) !== link;
        if (event.kind !== 'link-status' || !isRetired) this.#mailbox.post(event);
      },
      ...(linkTiming === undefined ? {} : { timing: linkTiming }),
    });
    this.#openedLinkCount += 1;
    this.#links.set(member.host, link);
    if (this.#set !== undefined) {
      link.updateOwnSet({ generation: this.#set.generation, digest: this.#set.digest });
    }
    link.start();
  }

  #closeLink(host: string): void {
    this.#links.retire(host, this.#hasOpenRequests);
    this.#statuses.delete(host);
    this.#router.removeHost(host);
    this.#onSetEvent?.({ kind: 'peer-gone', peer: host });
  }

  readonly #hasOpenRequests = (link: LinkTask): boolean =>
    [...this.#requests.values()].some((request) => request.link === link);

  #handleLinkStatus(status: LinkStatus): void {
    if (this.#links.get(status.host) === undefined) return;
    this.#statuses.set(status.host, status);
    this.#limits.applyTotals(status.host, status.demand, this.#options.clock.now());
    this.#router.updateStatus(status);
    const { host: peer, health, peerSet: set } = status;
    this.#onSetEvent?.(
      health === 'ready' ? { kind: 'peer-set', peer, set } : { kind: 'peer-gone', peer },
    );
    if (status.report.leaving) {
      this.#membership.announceLeaving(status.host, status.incarnation);
    }
  }

  #accept(submission: Submission): void {
    const { clock } = this.#options;
    const admitted = this.#admit(submission);
    if ('kind' in admitted) {
      this.#refuse(submission, admitted);
      return;
    }
    this.#retryBudget.noteRequest();
    const request = createOpenRequest(admitted);
    this.#requests.set(submission.requestId, request);
    request.cancelDeadline = clock.schedule(submission.timeoutMs, () =>
      this.#mailbox.post({ kind: 'deadline', requestId: submission.requestId }),
    );
    this.#send(request);
  }

  #refuse(submission: Submission, refusal: NotRun): void {
    const outcome = keyedOutcome(submission.request, refusal);
    const reason = outcome.kind === 'done' ? undefined : outcome.reason;
    const generation = this.#set?.generation ?? 0;
    this.#options.log('requestEnded', {
      request: submission.requestId,
      outcome: outcome.kind,
      reason,
    });
    submission.onEvent({ kind: 'final', outcome, tokens: 0, digest: '', body: '', generation });
  }

  #admit(submission: Submission): AdmittedRequest | NotRun {
    const set = this.#set;
    if (this.#onDrained !== undefined) {
      return notRun('leaving', 'this entry is shutting down; send the request to another entry', 0);
    }
    if (set === undefined) {
      return notRun(
        'starting',
        'this entry has no configuration set yet; retry the request',
        RETRY_AFTER_MS,
      );
    }
    const caller = set.callersByToken.get(submission.tokenSha256);
    if (caller === undefined) {
      return UNKNOWN_TOKEN;
    }
    const plan = planCall(set, caller.tenant, submission.request);
    if (plan.kind === 'not-run') return plan;
    const now = this.#options.clock.now();
    const refusal = this.#limits.admit(caller.tenant, plan.call, now);
    if (refusal !== undefined) return refusal;
    return {
      submission,
      tenant: caller.tenant,
      call: plan.call,
      destination: plan.destination,
      generation: set.generation,
      startedAt: now,
      deadline: now + submission.timeoutMs,
    };
  }

  #send(request: OpenRequest): void {
    const host = this.#router.choose(request);
    const link = host === undefined ? undefined : this.#links.get(host);
    if (host === undefined || link === undefined) {
      const detail = 'no backend server for this request is available; retry the request';
      this.#finish(request, notRun('unreachable', detail, RETRY_AFTER_MS));
      return;
    }
    this.#exchangeCount += 1;
    request.exchange = `${this.#options.identity.incarnation}-${this.#exchangeCount}`;
    request.host = host;
    request.link = link;
    this.#requestsByExchange.set(request.exchange, request);
    this.#router.recordSent(request);
    const { generation, deadline } = request;
    const call = callForHost(request, this.#mayTakeWork(host));
    link.submit(request.exchange, call, { generation, deadline });
  }

  #mayTakeWork(host: string): boolean {
    const incarnation = this.#statuses.get(host)?.incarnation ?? '';
    return this.#membership.mayTakeWork(host, incarnation);
  }

  #handleExchangeEvent(exchange: ExchangeId, event: ExchangeEvent): void {
    const request = this.#requestsByExchange.get(exchange);
    if (request === undefined) return;
    switch (event.kind) {
      case 'started':
        this.#handleStarted(request, event);
        return;
      case 'chunk':
        request.tokens += event.tokens;
        request.textHash.update(event.text);
        recordTokenTime(request, this.#options.clock.now());
        request.submission.onEvent(event);
        return;
      default:
        this.#handleFinal(request, event);
    }
  }

  #handleStarted(request: OpenRequest, event: Extract<ExchangeEvent, { kind: 'started' }>): void {
    const { call, submission, host } = request;
    if (call.kind === 'completion' && event.servedBy !== call.adapterVersion) {
      request.link?.cancel(request.exchange);
      const detail = `the engine served ${event.servedBy}, not ${call.adapterVersion}`;
      this.#finish(request, failed('wrong-adapter', detail));
      return;
    }
    request.started = true;
    request.timings.loadStallMs = event.loadStallMs;
    request.timings.queuedMs = event.queuedMs;
    submission.onEvent({ kind: 'started', servedBy: event.servedBy, host });
  }

  #handleFinal(request: OpenRequest, event: Extract<ExchangeEvent, { kind: 'final' }>): void {
    const outcome = verifyResponse(request, event);
    this.#requestsByExchange.delete(request.exchange);
    this.#router.recordEnded(request.exchange);
    request.triedHosts.add(request.host);
    this.#router.recordOutcome(request.host, outcome);
    if (this.#mayRetry(request, outcome)) {
      const { submission, exchange, host } = request;
      this.#options.log('requestRetried', { request: submission.requestId, exchange, peer: host });
      this.#send(request);
      return;
    }
    this.#finish(request, outcome, event);
  }

  #mayRetry(request: OpenRequest, outcome: Outcome): boolean {
    const { maxAttempts = 3 } = this.#options;
    return (
      isRetryable(outcome) &&
      !request.started &&
      request.triedHosts.size < maxAttempts &&
      request.destination.kind !== 'host' &&
      this.#router.choose(request) !== undefined &&
      this.#retryBudget.tryRetry()
    );
  }

  #abandon(requestId: string): void {
    const request = this.#requests.get(requestId);
    if (request === undefined) return;
    request.link?.cancel(request.exchange);
    request.isAbandoned = true;
    this.#finish(request, failed('cancelled', 'the caller closed the connection'));
  }

  #expire(requestId: string): void {
    const request = this.#requests.get(requestId);
    if (request === undefined) return;
    request.link?.cancel(request.exchange);
    const outcome = request.started
      ? failed('cancelled', 'the deadline passed before the response was complete')
      : unknown('deadline', 'the deadline passed before the backend server responded');
    this.#finish(request, outcome);
  }

  #finish(
    request: OpenRequest,
    result: Outcome,
    response: { readonly digest: string; readonly body: string } = { digest: '', body: '' },
  ): void {
    const { submission, tokens, generation, host, exchange } = request;
    const outcome = keyedOutcome(submission.request, result);
    request.cancelDeadline();
    this.#requestsByExchange.delete(request.exchange);
    this.#router.recordEnded(request.exchange);
    this.#requests.delete(submission.requestId);
    this.#limits.release(request.tenant, request.call);
    if (request.link !== undefined) this.#links.release(request.link, this.#hasOpenRequests);
    this.#recordBurn(request, outcome);
    const elapsedMs = Math.round(this.#options.clock.now() - request.startedAt);
    const reason = outcome.kind === 'done' ? undefined : outcome.reason;
    const fields = {
      request: submission.requestId,
      exchange,
      peer: host,
      outcome: outcome.kind,
      reason,
      elapsedMs,
    };
    this.#options.log('requestEnded', fields);
    const { digest, body } = response;
    const final: SubmissionEvent = { kind: 'final', outcome, tokens, digest, body, generation };
    submission.onEvent(final);
    this.#checkDrained();
  }

  #recordBurn(request: OpenRequest, outcome: Outcome): void {
    const availabilityZone = this.#membership.find(request.host)?.availabilityZone ?? '';
    const sample = createRequestSample(request, outcome, availabilityZone);
    this.#burn.record(sample, this.#options.clock.now());
  }

  #checkDrained(): void {
    if (this.#requests.size === 0) this.#onDrained?.();
  }
}
