import type { Milliseconds } from '../clock/mod.ts';
import type { ExchangeName, Incarnation } from '../identity/mod.ts';
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
import { SequenceCheck } from './sequenceCheck.ts';

/** Timing of a link. */
export type LinkTiming = {
  /** Time between heartbeats. @default 250 */
  readonly heartbeatMs?: Milliseconds;
  /** Silence after which a second connection is opened beside the first. @default 800 */
  readonly suspectAfterMs?: Milliseconds;
  /** Time for a connection to become ready. @default 800 */
  readonly openWithinMs?: Milliseconds;
  /** Pause before the next try after a failed connection. @default 250 */
  readonly redialAfterMs?: Milliseconds;
  /** Time without a link after which requests that may have run end as unknown. @default 5000 */
  readonly giveUpAfterMs?: Milliseconds;
};

/** The timing of links unless an option says otherwise. */
export const DEFAULT_LINK_TIMING: Required<LinkTiming> = {
  heartbeatMs: 250,
  suspectAfterMs: 800,
  openWithinMs: 800,
  redialAfterMs: 250,
  giveUpAfterMs: 5000,
};

/** How to build the entry's end of a link. */
export type EntryLinkOptions = {
  readonly identity: Identity;
  /** The sidecar's host. */
  readonly target: string;
  /** Shared link keys; the first one signs, all are accepted. */
  readonly keys: readonly string[];
  /** Returns a random nonce. */
  readonly nonce: () => string;
  readonly timing?: LinkTiming;
  /** Returns the demand that the sidecar should relay to other entries. */
  readonly demand?: () => readonly TenantDemand[];
  /** The last epoch of earlier links of this process to the same host. @default 0 */
  readonly afterEpoch?: Epoch;
};

/** Numbers the connections of one link; a higher epoch fences lower ones. */
export type Epoch = number;

/** What the owner of an `EntryLink` must do. */
export type EntryLinkAction =
  | { readonly kind: 'dial'; readonly epoch: Epoch }
  | { readonly kind: 'send'; readonly epoch: Epoch; readonly envelope: Envelope<EntryFrame> }
  | { readonly kind: 'close'; readonly epoch: Epoch; readonly reason: string }
  | {
      readonly kind: 'deliver';
      readonly exchange: ExchangeName;
      readonly number: number;
      readonly event: ExchangeEvent;
    }
  | { readonly kind: 'ready'; readonly epoch: Epoch }
  | { readonly kind: 'set-frame'; readonly frame: SetFrame }
  | { readonly kind: 'suspected'; readonly silentMs: Milliseconds }
  | { readonly kind: 'mismatch'; readonly detail: string };

/** Whether requests may be sent on a link. */
export type LinkHealth = 'connecting' | 'ready' | 'suspected';

type Connection = {
  readonly epoch: Epoch;
  readonly dialledAt: Milliseconds;
  readonly nonce: string;
  readonly received: SequenceCheck;
  sent: number;
  sidecar: Identity | undefined;
};

type Exchange = { readonly incarnation: Incarnation; nextEvent: number; acknowledged: number };

/** Events after which the entry acknowledges what it has received. */
const ACKNOWLEDGE_EVERY = 16;

const NO_REPORT: LoadReport = {
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
 * The entry's end of the link to one sidecar, as a state machine without sockets.
 *
 * The owner reports what happens to connections and performs the returned actions in order.
 */
export class EntryLink {
  readonly #options: EntryLinkOptions;

  readonly #timing: Required<LinkTiming>;

  readonly #connections = new Map<Epoch, Connection>();

  readonly #exchanges = new Map<ExchangeName, Exchange>();

  #actions: EntryLinkAction[] = [];

  #lastEpoch: Epoch = 0;

  #ready: Connection | undefined;

  #readyIncarnation: Incarnation = '';

  #lastHeard: Milliseconds = 0;

  #lastHeartbeat: Milliseconds = 0;

  #lostAt: Milliseconds | undefined;

  #nextDialAt: Milliseconds = 0;

  #suspected = false;

  #echo: Milliseconds = 0;

  #echoAt: Milliseconds = 0;

  #report: LoadReport = NO_REPORT;

  #demand: readonly DemandTotal[] = [];

  #peerSet: SetStamp = { generation: 0, digest: '' };

  #ownSet: SetStamp = { generation: 0, digest: '' };

  constructor(options: EntryLinkOptions) {
    this.#options = options;
    this.#lastEpoch = options.afterEpoch ?? 0;
    this.#timing = { ...DEFAULT_LINK_TIMING, ...options.timing };
  }

  /** Whether requests may be sent. */
  get health(): LinkHealth {
    if (this.#ready === undefined) return 'connecting';
    return this.#suspected ? 'suspected' : 'ready';
  }

  /** The last load report of the sidecar. */
  get report(): LoadReport {
    return this.#report;
  }

  /** What the sidecar has in force. */
  get peerSet(): SetStamp {
    return this.#peerSet;
  }

  /** The demand that the sidecar hears of all entries. */
  get demand(): readonly DemandTotal[] {
    return this.#demand;
  }

  /** The incarnation of the sidecar behind the ready connection; empty before the first. */
  get incarnation(): Incarnation {
    return this.#readyIncarnation;
  }

  /** Exchanges without a final event. */
  get open(): number {
    return this.#exchanges.size;
  }

  /** Notes the set in force at the entry, which rides on heartbeats. */
  noteSet(set: SetStamp): void {
    this.#ownSet = set;
  }

  /** Sends a frame of the set, or drops it when no connection is ready. */
  sendSet(frame: SetFrame): readonly EntryLinkAction[] {
    if (this.#ready !== undefined) this.#send(this.#ready, frame);
    return this.#takeActions();
  }

  /** Tells that time has passed. */
  tick(now: Milliseconds): readonly EntryLinkAction[] {
    this.#closeSlowConnections(now);
    this.#suspectSilence(now);
    this.#giveUp(now);
    this.#dialIfNeeded(now);
    this.#heartbeat(now);
    return this.#takeActions();
  }

  /** Tells that the connection of an epoch is open. */
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

  /** Tells that a frame arrived on the connection of an epoch. */
  received(
    epoch: Epoch,
    envelope: Envelope<SidecarFrame>,
    now: Milliseconds,
  ): readonly EntryLinkAction[] {
    const connection = this.#connections.get(epoch);
    if (connection === undefined) return [];
    const verdict = connection.received.judge(envelope.sequence);
    if (verdict === 'accept') this.#handle(connection, envelope.frame, now);
    if (verdict === 'gap') this.#drop(connection, 'frames are missing', now);
    return this.#takeActions();
  }

  /** Tells that the connection of an epoch is closed or could not be opened. */
  closed(epoch: Epoch, now: Milliseconds): readonly EntryLinkAction[] {
    const connection = this.#connections.get(epoch);
    if (connection !== undefined) this.#forget(connection, now);
    this.#dialIfNeeded(now);
    return this.#takeActions();
  }

  /**
   * Sends a call; the exchange's events follow as `deliver` actions.
   *
   * A call that cannot be sent now ends at once as not run.
   */
  submit(
    exchange: ExchangeName,
    call: Call,
    limits: { readonly generation: number; readonly budgetMs: Milliseconds },
    now: Milliseconds,
  ): readonly EntryLinkAction[] {
    const connection = this.#ready;
    if (connection === undefined) {
      const detail = `no link to ${this.#options.target} is ready; ask again`;
      const event = finalEvent(notRun('unreachable', detail, this.#timing.redialAfterMs));
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
      ...limits,
      echo: this.#echo,
      sinceEchoMs: now - this.#echoAt,
      call,
    });
    return this.#takeActions();
  }

  /** Gives an exchange up; the sidecar is told and no more events are delivered. */
  cancel(exchange: ExchangeName): readonly EntryLinkAction[] {
    if (this.#exchanges.delete(exchange) && this.#ready !== undefined) {
      this.#send(this.#ready, { kind: 'cancel', exchange });
    }
    return this.#takeActions();
  }

  #takeActions(): readonly EntryLinkAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  #send(connection: Connection, frame: EntryFrame): void {
    const envelope = { sequence: connection.sent, frame };
    connection.sent += 1;
    this.#actions.push({ kind: 'send', epoch: connection.epoch, envelope });
  }

  #dialIfNeeded(now: Milliseconds): void {
    const wanted = this.#ready === undefined || this.#suspected;
    const opening = [...this.#connections.values()].some((each) => each !== this.#ready);
    if (!wanted || opening || now < this.#nextDialAt) return;
    this.#lastEpoch += 1;
    const epoch = this.#lastEpoch;
    this.#connections.set(epoch, {
      epoch,
      dialledAt: now,
      nonce: this.#options.nonce(),
      received: new SequenceCheck(),
      sent: 0,
      sidecar: undefined,
    });
    this.#actions.push({ kind: 'dial', epoch });
  }

  #closeSlowConnections(now: Milliseconds): void {
    for (const connection of [...this.#connections.values()]) {
      const late = now - connection.dialledAt >= this.#timing.openWithinMs;
      if (connection !== this.#ready && late) this.#drop(connection, 'it opened too slowly', now);
    }
  }

  #suspectSilence(now: Milliseconds): void {
    const silentMs = now - this.#lastHeard;
    if (this.#ready === undefined || this.#suspected) return;
    if (silentMs < this.#timing.suspectAfterMs) return;
    this.#suspected = true;
    this.#lostAt = now;
    this.#actions.push({ kind: 'suspected', silentMs });
  }

  #giveUp(now: Milliseconds): void {
    if (this.#lostAt === undefined || now - this.#lostAt < this.#timing.giveUpAfterMs) return;
    this.#endAll(
      unknown(
        'link-lost',
        `the link to ${this.#options.target} was lost after the request was sent`,
      ),
    );
  }

  #endAll(outcome: Outcome): void {
    for (const [name, exchange] of this.#exchanges) this.#end(name, exchange, outcome);
  }

  #end(name: ExchangeName, exchange: Exchange, outcome: Outcome): void {
    this.#exchanges.delete(name);
    const event = finalEvent(outcome);
    this.#actions.push({ kind: 'deliver', exchange: name, number: exchange.nextEvent, event });
  }

  #heartbeat(now: Milliseconds): void {
    if (this.#ready === undefined || now - this.#lastHeartbeat < this.#timing.heartbeatMs) return;
    this.#lastHeartbeat = now;
    for (const [exchange, state] of this.#exchanges) this.#acknowledge(exchange, state);
    const demand = this.#options.demand?.() ?? [];
    const carried = demand.length === 0 ? {} : { demand };
    this.#send(this.#ready, { kind: 'heartbeat', set: this.#ownSet, ...carried });
  }

  #acknowledge(exchange: ExchangeName, state: Exchange): void {
    if (this.#ready === undefined || state.acknowledged === state.nextEvent) return;
    state.acknowledged = state.nextEvent;
    this.#send(this.#ready, { kind: 'acknowledge', exchange, nextEvent: state.nextEvent });
  }

  #drop(connection: Connection, reason: string, now: Milliseconds): void {
    this.#actions.push({ kind: 'close', epoch: connection.epoch, reason });
    this.#forget(connection, now);
  }

  #forget(connection: Connection, now: Milliseconds): void {
    this.#connections.delete(connection.epoch);
    if (this.#ready === connection) {
      this.#ready = undefined;
      this.#lostAt ??= now;
      return;
    }
    this.#nextDialAt = now + this.#timing.redialAfterMs;
  }

  #handle(connection: Connection, frame: SidecarFrame, now: Milliseconds): void {
    switch (frame.kind) {
      case 'welcome':
        this.#handleWelcome(connection, frame, now);
        return;
      case 'refused':
        this.#actions.push({ kind: 'mismatch', detail: frame.reason });
        this.#drop(connection, frame.reason, now);
        return;
      case 'ready':
        this.#handleReady(connection, frame, now);
        return;
      case 'heartbeat':
        this.#hear(connection, now);
        this.#noteReport(frame, now);
        return;
      case 'set-read':
      case 'set-value':
      case 'set-conflict':
        this.#hear(connection, now);
        if (connection === this.#ready) this.#actions.push({ kind: 'set-frame', frame });
        return;
      default:
        this.#hear(connection, now);
        this.#handleEvent(connection, frame);
    }
  }

  #hear(connection: Connection, now: Milliseconds): void {
    if (connection !== this.#ready) return;
    this.#lastHeard = now;
    this.#suspected = false;
    this.#lostAt = undefined;
  }

  #noteReport(
    frame: Extract<SidecarFrame, { kind: 'heartbeat' | 'ready' }>,
    now: Milliseconds,
  ): void {
    this.#echo = frame.stamp;
    this.#echoAt = now;
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
      this.#drop(connection, detail, now);
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

  #resumePoints(incarnation: Incarnation): { exchange: ExchangeName; nextEvent: number }[] {
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
      this.#drop(connection, 'ready came before welcome', now);
      return;
    }
    const previous = this.#ready;
    this.#ready = connection;
    this.#readyIncarnation = incarnation;
    if (previous !== undefined) this.#drop(previous, 'a newer connection took its place', now);
    this.#hear(connection, now);
    this.#noteReport(frame, now);
    this.#actions.push({ kind: 'ready', epoch: connection.epoch });
    this.#endUnseen(frame.unseen);
    this.#endOthers(incarnation);
  }

  #endUnseen(unseen: readonly ExchangeName[]): void {
    for (const name of unseen) {
      const exchange = this.#exchanges.get(name);
      if (exchange !== undefined) {
        const detail = `${this.#options.target} never received the request; ask again`;
        this.#end(name, exchange, notRun('unreachable', detail, 0));
      }
    }
  }

  /** Ends exchanges with earlier incarnations of the sidecar, which can no longer answer. */
  #endOthers(incarnation: Incarnation): void {
    for (const [name, exchange] of this.#exchanges) {
      if (exchange.incarnation !== incarnation) {
        const detail = `${this.#options.target} restarted after the request was sent`;
        this.#end(name, exchange, unknown('restarted', detail));
      }
    }
  }

  #handleEvent(connection: Connection, frame: Extract<SidecarFrame, { kind: 'event' }>): void {
    const exchange = this.#exchanges.get(frame.exchange);
    if (connection !== this.#ready || exchange === undefined) return;
    if (frame.number !== exchange.nextEvent) return;
    exchange.nextEvent += 1;
    const { exchange: name, number, event } = frame;
    this.#actions.push({ kind: 'deliver', exchange: name, number, event });
    const ends = endsExchange(event);
    if (ends || exchange.nextEvent - exchange.acknowledged >= ACKNOWLEDGE_EVERY) {
      this.#acknowledge(name, exchange);
    }
    if (ends) this.#exchanges.delete(name);
  }
}
