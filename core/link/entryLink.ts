import type { Milliseconds } from '../clock/mod.ts';
import type { ExchangeId, Incarnation } from '../identity/mod.ts';
import type { DemandTotal, TenantDemand } from '../limits/mod.ts';
import { notRun, unknown } from '../outcome/mod.ts';
import type { Outcome } from '../outcome/mod.ts';
import type {
  Call,
  EntryFrame,
  Envelope,
  ExchangeEvent,
  Identity,
  LoadReport,
  SetFrame,
  SetStamp,
  SidecarFrame,
} from './frames.ts';
import { LINK_VERSION } from './frames.ts';
import { computeProof, proofsMatch } from './proof.ts';
import { SequenceChecker } from './sequenceChecker.ts';

/** Intervals and timeouts of a link. */
export type LinkTiming = {
  /** Interval between heartbeats. @default 250 */
  readonly heartbeatMs?: Milliseconds;
  /** Time without received frames after which another connection is dialed. @default 800 */
  readonly suspectTimeoutMs?: Milliseconds;
  /** Time limit for dialing and handshake. @default 800 */
  readonly handshakeTimeoutMs?: Milliseconds;
  /** Delay before dialing again after a failed connection. @default 250 */
  readonly redialDelayMs?: Milliseconds;
  /** Time without a link after which open exchanges end with an unknown outcome. @default 5000 */
  readonly lossTimeoutMs?: Milliseconds;
};

/** Default timing of a link. */
export const DEFAULT_LINK_TIMING: Required<LinkTiming> = {
  heartbeatMs: 250,
  suspectTimeoutMs: 800,
  handshakeTimeoutMs: 800,
  redialDelayMs: 250,
  lossTimeoutMs: 5000,
};

/** Options of an `EntryLink`. */
export type EntryLinkOptions = {
  readonly identity: Identity;
  /** Host of the sidecar to connect to. */
  readonly target: string;
  /** Shared link keys, any of which authenticates the sidecar and then signs the entry's proof. */
  readonly keys: readonly string[];
  /** Returns a random nonce. */
  readonly nonce: () => string;
  readonly timing?: LinkTiming;
  /** Returns the demand at this entry, for the tenants whose demand the sidecar sums. */
  readonly demand?: () => readonly TenantDemand[];
  /** Last epoch that this process used for an earlier link to the same host. @default 0 */
  readonly afterEpoch?: Epoch;
};

/** Number of a connection within a link, from 1; a higher epoch fences all lower ones. */
export type Epoch = number;

/** An action that the owner of an `EntryLink` must perform. */
export type EntryLinkAction =
  | { readonly kind: 'dial'; readonly epoch: Epoch }
  | { readonly kind: 'send'; readonly epoch: Epoch; readonly envelope: Envelope<EntryFrame> }
  | { readonly kind: 'close'; readonly epoch: Epoch; readonly reason: string }
  | {
      readonly kind: 'deliver';
      readonly exchange: ExchangeId;
      readonly number: number;
      readonly event: ExchangeEvent;
    }
  | { readonly kind: 'ready'; readonly epoch: Epoch }
  | { readonly kind: 'set-frame'; readonly frame: SetFrame }
  /** No frame has arrived for some time; another connection is dialed. */
  | { readonly kind: 'suspected'; readonly silentMs: Milliseconds }
  /** The sidecar is not the expected one, or refused the connection. */
  | { readonly kind: 'mismatch'; readonly detail: string };

/** Connection state of a link; requests can be sent unless it is `connecting`. */
export type LinkHealth = 'connecting' | 'ready' | 'suspected';

type Connection = {
  readonly epoch: Epoch;
  readonly dialedAt: Milliseconds;
  readonly nonce: string;
  readonly sequenceChecker: SequenceChecker;
  nextSequence: number;
  /** Identity of the sidecar, once it is authenticated. */
  sidecar: Identity | undefined;
};

type Exchange = {
  /** Incarnation of the sidecar to which the call was sent. */
  readonly incarnation: Incarnation;
  /** Number of the next event expected. */
  nextEvent: number;
  /** Value of `nextEvent` in the last acknowledgement. */
  acknowledged: number;
};

/** Received events of an exchange after which an acknowledgement is sent. */
const ACKNOWLEDGE_INTERVAL_EVENTS = 16;

const EMPTY_REPORT: LoadReport = {
  running: 0,
  waiting: 0,
  batchWidth: 1,
  resident: [],
  leaving: false,
  backendServer: '',
};

function endsExchange(event: ExchangeEvent): boolean {
  return event.kind === 'final';
}

function finalEvent(outcome: Outcome): ExchangeEvent {
  return { kind: 'final', outcome, tokens: 0, digest: '', body: '' };
}

/**
 * The entry side of the link to one sidecar, as a state machine without I/O.
 *
 * The owner reports connection events and the time, and performs the returned actions in order.
 */
export class EntryLink {
  readonly #options: EntryLinkOptions;

  readonly #timing: Required<LinkTiming>;

  readonly #connections = new Map<Epoch, Connection>();

  readonly #exchanges = new Map<ExchangeId, Exchange>();

  #actions: EntryLinkAction[] = [];

  #lastEpoch: Epoch = 0;

  /** The ready connection. */
  #current: Connection | undefined;

  #readyIncarnation: Incarnation = '';

  #lastReceivedAt: Milliseconds = 0;

  #heartbeatAt: Milliseconds = 0;

  /** When the link was lost or first suspected; undefined while it is ready. */
  #lostAt: Milliseconds | undefined;

  #nextDialAt: Milliseconds = 0;

  #isSuspected = false;

  #sidecarStamp: Milliseconds = 0;

  #sidecarStampReceivedAt: Milliseconds = 0;

  #report: LoadReport = EMPTY_REPORT;

  #demand: readonly DemandTotal[] = [];

  #peerSet: SetStamp = { generation: 0, digest: '' };

  #ownSet: SetStamp = { generation: 0, digest: '' };

  constructor(options: EntryLinkOptions) {
    this.#options = options;
    this.#lastEpoch = options.afterEpoch ?? 0;
    this.#timing = { ...DEFAULT_LINK_TIMING, ...options.timing };
  }

  /** The connection state of the link. */
  get health(): LinkHealth {
    if (this.#current === undefined) return 'connecting';
    return this.#isSuspected ? 'suspected' : 'ready';
  }

  /** The latest load report of the sidecar. */
  get report(): LoadReport {
    return this.#report;
  }

  /** Generation and digest of the set in force at the sidecar. */
  get peerSet(): SetStamp {
    return this.#peerSet;
  }

  /** Demand over all entries, as last reported by the sidecar. */
  get demand(): readonly DemandTotal[] {
    return this.#demand;
  }

  /** Incarnation of the sidecar on the latest ready connection; empty before the first one. */
  get incarnation(): Incarnation {
    return this.#readyIncarnation;
  }

  /** Number of exchanges that have not ended. */
  get openExchangeCount(): number {
    return this.#exchanges.size;
  }

  /** Sets the stamp of the set in force at the entry, which is sent in proofs and heartbeats. */
  updateOwnSet(set: SetStamp): void {
    this.#ownSet = set;
  }

  /** Sends a set frame, or drops it when no connection is ready. */
  sendSet(frame: SetFrame): readonly EntryLinkAction[] {
    if (this.#current !== undefined) this.#send(this.#current, frame);
    return this.#takeActions();
  }

  /** Handles timeouts, redials and heartbeats that are due at `now`. */
  tick(now: Milliseconds): readonly EntryLinkAction[] {
    this.#closeTimedOutHandshakes(now);
    this.#suspectSilentLink(now);
    this.#endExchangesOfLostLink(now);
    this.#dialIfNeeded(now);
    this.#sendHeartbeat(now);
    return this.#takeActions();
  }

  /** Handles an established connection by starting the handshake. */
  opened(epoch: Epoch): readonly EntryLinkAction[] {
    const connection = this.#connections.get(epoch);
    if (connection !== undefined) {
      this.#send(connection, {
        kind: 'hello',
        version: LINK_VERSION,
        identity: this.#options.identity,
        target: this.#options.target,
        epoch,
        nonce: connection.nonce,
      });
    }
    return this.#takeActions();
  }

  /** Handles a frame received on a connection. */
  received(
    epoch: Epoch,
    envelope: Envelope<SidecarFrame>,
    now: Milliseconds,
  ): readonly EntryLinkAction[] {
    const connection = this.#connections.get(epoch);
    if (connection === undefined) return [];
    const verdict = connection.sequenceChecker.check(envelope.sequence);
    if (verdict === 'accept') this.#handleFrame(connection, envelope.frame, now);
    if (verdict === 'gap') this.#close(connection, 'gap in frame sequence', now);
    return this.#takeActions();
  }

  /** Handles a connection that closed or could not be established. */
  closed(epoch: Epoch, now: Milliseconds): readonly EntryLinkAction[] {
    const connection = this.#connections.get(epoch);
    if (connection !== undefined) this.#removeConnection(connection, now);
    this.#dialIfNeeded(now);
    return this.#takeActions();
  }

  /**
   * Sends a call; the events of its exchange follow as `deliver` actions.
   *
   * Without a ready connection the exchange ends immediately with a not-run outcome.
   *
   * @param options Generation of the set in use and time until the deadline.
   */
  submit(
    exchange: ExchangeId,
    call: Call,
    options: { readonly generation: number; readonly budgetMs: Milliseconds },
    now: Milliseconds,
  ): readonly EntryLinkAction[] {
    const connection = this.#current;
    if (connection === undefined) {
      const detail = `no link to ${this.#options.target} is ready; retry the request`;
      const event = finalEvent(notRun('unreachable', detail, this.#timing.redialDelayMs));
      return [{ kind: 'deliver', exchange, number: 0, event }];
    }
    this.#exchanges.set(exchange, {
      incarnation: this.#readyIncarnation,
      nextEvent: 0,
      acknowledged: 0,
    });
    this.#send(connection, {
      kind: 'submit',
      exchange,
      ...options,
      echo: this.#sidecarStamp,
      sinceEchoMs: now - this.#sidecarStampReceivedAt,
      call,
    });
    return this.#takeActions();
  }

  /** Cancels an exchange at the sidecar and stops delivering its events. */
  cancel(exchange: ExchangeId): readonly EntryLinkAction[] {
    if (this.#exchanges.delete(exchange) && this.#current !== undefined) {
      this.#send(this.#current, { kind: 'cancel', exchange });
    }
    return this.#takeActions();
  }

  #takeActions(): readonly EntryLinkAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  #send(connection: Connection, frame: EntryFrame): void {
    const envelope = { sequence: connection.nextSequence, frame };
    connection.nextSequence += 1;
    this.#actions.push({ kind: 'send', epoch: connection.epoch, envelope });
  }

  #dialIfNeeded(now: Milliseconds): void {
    const isNeeded = this.#current === undefined || this.#isSuspected;
    const isOpening = [...this.#connections.values()].some((each) => each !== this.#current);
    if (!isNeeded || isOpening || now < this.#nextDialAt) return;
    this.#lastEpoch += 1;
    const epoch = this.#lastEpoch;
    this.#connections.set(epoch, {
      epoch,
      dialedAt: now,
      nonce: this.#options.nonce(),
      sequenceChecker: new SequenceChecker(),
      nextSequence: 0,
      sidecar: undefined,
    });
    this.#actions.push({ kind: 'dial', epoch });
  }

  #closeTimedOutHandshakes(now: Milliseconds): void {
    for (const connection of [...this.#connections.values()]) {
      const isLate = now - connection.dialedAt >= this.#timing.handshakeTimeoutMs;
      if (connection !== this.#current && isLate) this.#close(connection, 'handshake timeout', now);
    }
  }

  #suspectSilentLink(now: Milliseconds): void {
    const silentMs = now - this.#lastReceivedAt;
    if (this.#current === undefined || this.#isSuspected) return;
    if (silentMs < this.#timing.suspectTimeoutMs) return;
    this.#isSuspected = true;
    this.#lostAt = now;
    this.#actions.push({ kind: 'suspected', silentMs });
  }

  #endExchangesOfLostLink(now: Milliseconds): void {
    if (this.#lostAt === undefined || now - this.#lostAt < this.#timing.lossTimeoutMs) return;
    this.#endAllExchanges(
      unknown(
        'link-lost',
        `the link to ${this.#options.target} was lost after the request was sent`,
      ),
    );
  }

  #endAllExchanges(outcome: Outcome): void {
    for (const [name, exchange] of this.#exchanges) this.#endExchange(name, exchange, outcome);
  }

  #endExchange(name: ExchangeId, exchange: Exchange, outcome: Outcome): void {
    this.#exchanges.delete(name);
    const event = finalEvent(outcome);
    this.#actions.push({ kind: 'deliver', exchange: name, number: exchange.nextEvent, event });
  }

  #sendHeartbeat(now: Milliseconds): void {
    if (this.#current === undefined || now - this.#heartbeatAt < this.#timing.heartbeatMs) return;
    this.#heartbeatAt = now;
    for (const [exchange, state] of this.#exchanges) this.#acknowledge(exchange, state);
    const demand = this.#options.demand?.() ?? [];
    const demandField = demand.length === 0 ? {} : { demand };
    this.#send(this.#current, { kind: 'heartbeat', set: this.#ownSet, ...demandField });
  }

  #acknowledge(exchange: ExchangeId, state: Exchange): void {
    if (this.#current === undefined || state.acknowledged === state.nextEvent) return;
    state.acknowledged = state.nextEvent;
    this.#send(this.#current, { kind: 'acknowledge', exchange, nextEvent: state.nextEvent });
  }

  #close(connection: Connection, reason: string, now: Milliseconds): void {
    this.#actions.push({ kind: 'close', epoch: connection.epoch, reason });
    this.#removeConnection(connection, now);
  }

  #removeConnection(connection: Connection, now: Milliseconds): void {
    this.#connections.delete(connection.epoch);
    if (this.#current === connection) {
      this.#current = undefined;
      this.#lostAt ??= now;
      return;
    }
    this.#nextDialAt = now + this.#timing.redialDelayMs;
  }

  #handleFrame(connection: Connection, frame: SidecarFrame, now: Milliseconds): void {
    switch (frame.kind) {
      case 'welcome':
        this.#handleWelcome(connection, frame, now);
        return;
      case 'refused':
        this.#actions.push({ kind: 'mismatch', detail: frame.reason });
        this.#close(connection, frame.reason, now);
        return;
      case 'ready':
        this.#handleReady(connection, frame, now);
        return;
      case 'heartbeat':
        this.#recordActivity(connection, now);
        this.#updateReport(frame, now);
        return;
      case 'set-read':
      case 'set-value':
      case 'set-conflict':
        this.#recordActivity(connection, now);
        if (connection === this.#current) this.#actions.push({ kind: 'set-frame', frame });
        return;
      default:
        this.#recordActivity(connection, now);
        this.#handleEvent(connection, frame);
    }
  }

  #recordActivity(connection: Connection, now: Milliseconds): void {
    if (connection !== this.#current) return;
    this.#lastReceivedAt = now;
    this.#isSuspected = false;
    this.#lostAt = undefined;
  }

  #updateReport(
    frame: Extract<SidecarFrame, { kind: 'heartbeat' | 'ready' }>,
    now: Milliseconds,
  ): void {
    this.#sidecarStamp = frame.stamp;
    this.#sidecarStampReceivedAt = now;
    this.#report = frame.report;
    this.#peerSet = frame.set;
    this.#demand = frame.demand ?? [];
  }

  #handleWelcome(
    connection: Connection,
    frame: Extract<SidecarFrame, { kind: 'welcome' }>,
    now: Milliseconds,
  ): void {
    const { identity, target, keys } = this.#options;
    const handshake = {
      entry: identity,
      sidecar: frame.identity,
      epoch: connection.epoch,
      entryNonce: connection.nonce,
      sidecarNonce: frame.nonce,
    };
    const key = keys.find((each) =>
      proofsMatch(computeProof(each, 'sidecar', handshake), frame.proof),
    );
    const isTarget = frame.identity.role === 'sidecar' && frame.identity.host === target;
    if (key === undefined || !isTarget) {
      const detail = `${frame.identity.role} ${frame.identity.host} answered for ${target}`;
      this.#actions.push({ kind: 'mismatch', detail });
      this.#close(connection, detail, now);
      return;
    }
    connection.sidecar = frame.identity;
    this.#send(connection, {
      kind: 'proof',
      proof: computeProof(key, 'entry', handshake),
      resume: this.#resumePoints(frame.identity.incarnation),
      set: this.#ownSet,
    });
  }

  #resumePoints(incarnation: Incarnation): { exchange: ExchangeId; nextEvent: number }[] {
    return [...this.#exchanges]
      .filter(([, exchange]) => exchange.incarnation === incarnation)
      .map(([exchange, { nextEvent }]) => ({ exchange, nextEvent }));
  }

  #handleReady(
    connection: Connection,
    frame: Extract<SidecarFrame, { kind: 'ready' }>,
    now: Milliseconds,
  ): void {
    const incarnation = connection.sidecar?.incarnation;
    if (incarnation === undefined) {
      this.#close(connection, 'received ready before welcome', now);
      return;
    }
    const previous = this.#current;
    this.#current = connection;
    this.#readyIncarnation = incarnation;
    if (previous !== undefined) this.#close(previous, 'replaced by a newer connection', now);
    this.#recordActivity(connection, now);
    this.#updateReport(frame, now);
    this.#actions.push({ kind: 'ready', epoch: connection.epoch });
    this.#endUnseenExchanges(frame.unseen);
    this.#endExchangesBeforeRestart(incarnation);
  }

  #endUnseenExchanges(unseen: readonly ExchangeId[]): void {
    for (const name of unseen) {
      const exchange = this.#exchanges.get(name);
      if (exchange !== undefined) {
        const detail = `${this.#options.target} never received the request; retry it`;
        this.#endExchange(name, exchange, notRun('unreachable', detail, 0));
      }
    }
  }

  /** Ends exchanges with earlier incarnations of the sidecar, which no longer run. */
  #endExchangesBeforeRestart(incarnation: Incarnation): void {
    for (const [name, exchange] of this.#exchanges) {
      if (exchange.incarnation !== incarnation) {
        const detail = `${this.#options.target} restarted after the request was sent`;
        this.#endExchange(name, exchange, unknown('restarted', detail));
      }
    }
  }

  #handleEvent(connection: Connection, frame: Extract<SidecarFrame, { kind: 'event' }>): void {
    const exchange = this.#exchanges.get(frame.exchange);
    if (connection !== this.#current || exchange === undefined) return;
    if (frame.number !== exchange.nextEvent) return;
    exchange.nextEvent += 1;
    const { exchange: name, number, event } = frame;
    this.#actions.push({ kind: 'deliver', exchange: name, number, event });
    const isFinal = endsExchange(event);
    if (isFinal || exchange.nextEvent - exchange.acknowledged >= ACKNOWLEDGE_INTERVAL_EVENTS) {
      this.#acknowledge(name, exchange);
    }
    if (isFinal) this.#exchanges.delete(name);
  }
}
