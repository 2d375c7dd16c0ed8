import type { Milliseconds } from '../clock/mod.ts';
import type { ExchangeId } from '../identity/mod.ts';
import type { DemandTotal, TenantDemand } from '../limits/mod.ts';
import { unknown } from '../outcome/mod.ts';
import { deadlineFromBudget } from './deadline.ts';
import type {
  Call,
  EntryFrame,
  Envelope,
  ExchangeEvent,
  Identity,
  LoadReport,
  ResumePoint,
  SetFrame,
  SetStamp,
  SidecarFrame,
} from './frames.ts';
import { LINK_VERSION } from './frames.ts';
import { computeProof, proofsMatch } from './proof.ts';
import { SequenceChecker } from './sequenceChecker.ts';

/** Number that identifies an accepted connection. */
export type ConnectionNumber = number;

/** State of a sidecar that it reports to entries. */
export type SidecarStatus = {
  readonly set: SetStamp;
  readonly report: LoadReport;
  /** Demand over all entries, for the tenants whose demand this sidecar sums. */
  readonly demand?: readonly DemandTotal[];
};

/** Options of `SidecarLinks`. */
export type SidecarLinksOptions = {
  readonly identity: Identity;
  /** Shared link keys; the first one signs, any of them authenticates an entry. */
  readonly keys: readonly string[];
  /** Returns a random nonce. */
  readonly nonce: () => string;
  /** Returns the status sent in `ready` and heartbeat frames. */
  readonly status: () => SidecarStatus;
  /** Interval between heartbeats. @default 250 */
  readonly heartbeatMs?: Milliseconds;
  /** Time limit for the handshake of an accepted connection. @default 800 */
  readonly handshakeTimeoutMs?: Milliseconds;
  /** Maximum number of open connections that are not authenticated. @default 256 */
  readonly maxUnauthenticatedConnections?: number;
  /**
   * Time without received frames after which an entry's exchanges are abandoned.
   *
   * Must exceed the `lossTimeoutMs` of entries. @default 10000
   */
  readonly entryTimeoutMs?: Milliseconds;
};

/** An action that the owner of `SidecarLinks` must perform. */
export type SidecarLinksAction =
  | {
      readonly kind: 'send';
      readonly connection: ConnectionNumber;
      readonly envelope: Envelope<SidecarFrame>;
    }
  | { readonly kind: 'close'; readonly connection: ConnectionNumber; readonly reason: string }
  | {
      readonly kind: 'run';
      readonly exchange: ExchangeId;
      readonly call: Call;
      readonly generation: number;
      /** Deadline on this process's clock. */
      readonly deadline: Milliseconds;
    }
  | { readonly kind: 'cancel'; readonly exchange: ExchangeId }
  | {
      /** An entry connected or sent a heartbeat. */
      readonly kind: 'peer-set';
      /** Identifies one incarnation of an entry. */
      readonly peer: string;
      readonly identity: Identity;
      readonly set: SetStamp;
      /** Demand at the entry, for the tenants whose demand this sidecar sums. */
      readonly demand: readonly TenantDemand[];
    }
  | { readonly kind: 'set-frame'; readonly peer: string; readonly frame: SetFrame }
  | { readonly kind: 'refused'; readonly detail: string };

type Hello = Extract<EntryFrame, { kind: 'hello' }>;

type Connection = {
  readonly number: ConnectionNumber;
  readonly acceptedAt: Milliseconds;
  readonly sequenceChecker: SequenceChecker;
  readonly nonce: string;
  nextSequence: number;
  hello: Hello | undefined;
  link: LinkState | undefined;
};

type Exchange = {
  /** Events that are not acknowledged, the first of which has the number `firstNumber`. */
  readonly events: ExchangeEvent[];
  firstNumber: number;
  hasEnded: boolean;
};

/** The link to one incarnation of an entry, which outlives its connections. */
type LinkState = {
  readonly identity: Identity;
  readonly exchanges: Map<ExchangeId, Exchange>;
  epoch: number;
  connection: Connection | undefined;
  lastReceivedAt: Milliseconds;
};

/** Time between two ticks above which the process is assumed to have been paused. */
const PAUSE_THRESHOLD_MS: Milliseconds = 2000;

/** Returns a key that identifies one incarnation of an entry. */
function peerKey({ host, incarnation }: Identity): string {
  return `${host} ${incarnation}`;
}

/** Returns exchanges that never arrived and cannot arrive later, as earlier epochs are fenced. */
function findUnseen(link: LinkState, resume: readonly ResumePoint[]): readonly ExchangeId[] {
  return resume
    .filter((point) => !link.exchanges.has(point.exchange))
    .map((point) => point.exchange);
}

/** The sidecar side of its links to all entries, as a state machine without I/O. */
export class SidecarLinks {
  readonly #options: SidecarLinksOptions;

  readonly #connections = new Map<ConnectionNumber, Connection>();

  /** Links by host and incarnation, so that incarnations of a host share no state. */
  readonly #links = new Map<string, LinkState>();

  readonly #linksByExchange = new Map<ExchangeId, LinkState>();

  #actions: SidecarLinksAction[] = [];

  #heartbeatAt: Milliseconds = 0;

  #lastTickAt: Milliseconds = 0;

  constructor(options: SidecarLinksOptions) {
    this.#options = options;
  }

  /** Number of exchanges that have not ended. */
  get openExchangeCount(): number {
    let open = 0;
    for (const { exchanges } of this.#links.values()) {
      for (const exchange of exchanges.values()) if (!exchange.hasEnded) open += 1;
    }
    return open;
  }

  /** Number of exchanges that have not ended or have unacknowledged events. */
  get unacknowledgedExchangeCount(): number {
    return this.#linksByExchange.size;
  }

  /** Handles an accepted connection; refuses it when too many connections are unauthenticated. */
  accepted(number: ConnectionNumber, now: Milliseconds): readonly SidecarLinksAction[] {
    const connection = {
      number,
      acceptedAt: now,
      sequenceChecker: new SequenceChecker(),
      nonce: this.#options.nonce(),
      nextSequence: 0,
      hello: undefined,
      link: undefined,
    };
    const unauthenticated = [...this.#connections.values()].filter(
      (each) => each.link === undefined,
    );
    this.#connections.set(number, connection);
    if (unauthenticated.length >= (this.#options.maxUnauthenticatedConnections ?? 256)) {
      this.#refuse(connection, 'too many unauthenticated connections; retry later');
    }
    return this.#takeActions();
  }

  /** Handles a closed connection. */
  closed(number: ConnectionNumber): void {
    const connection = this.#connections.get(number);
    this.#connections.delete(number);
    if (connection?.link?.connection === connection && connection?.link !== undefined) {
      connection.link.connection = undefined;
    }
  }

  /** Handles a frame received on a connection. */
  received(
    number: ConnectionNumber,
    envelope: Envelope<EntryFrame>,
    now: Milliseconds,
  ): readonly SidecarLinksAction[] {
    const connection = this.#connections.get(number);
    if (connection === undefined) return [];
    const verdict = connection.sequenceChecker.check(envelope.sequence);
    if (verdict === 'accept') this.#handleFrame(connection, envelope.frame, now);
    if (verdict === 'gap') this.#close(connection, 'gap in frame sequence');
    return this.#takeActions();
  }

  /** Handles timeouts and heartbeats that are due at `now`. */
  tick(now: Milliseconds): readonly SidecarLinksAction[] {
    this.#closeTimedOutHandshakes(now);
    this.#removeSilentEntries(now);
    if (now - this.#heartbeatAt >= (this.#options.heartbeatMs ?? 250)) this.#sendHeartbeats(now);
    return this.#takeActions();
  }

  /** Sends all connected entries a heartbeat immediately, to report a change of status. */
  announce(now: Milliseconds): readonly SidecarLinksAction[] {
    this.#sendHeartbeats(now);
    return this.#takeActions();
  }

  /** Sends a set frame to an entry, or drops it when the entry is not connected. */
  sendSet(peer: string, frame: SetFrame): readonly SidecarLinksAction[] {
    const connection = this.#links.get(peer)?.connection;
    if (connection !== undefined) this.#send(connection, frame);
    return this.#takeActions();
  }

  /** Appends an event to an exchange and sends it if the entry is connected. */
  emit(exchange: ExchangeId, event: ExchangeEvent): readonly SidecarLinksAction[] {
    const link = this.#linksByExchange.get(exchange);
    const state = link?.exchanges.get(exchange);
    if (link === undefined || state === undefined || state.hasEnded) return [];
    const number = state.firstNumber + state.events.length;
    state.events.push(event);
    state.hasEnded = event.kind === 'final';
    if (link.connection !== undefined) {
      this.#send(link.connection, { kind: 'event', exchange, number, event });
    }
    return this.#takeActions();
  }

  #takeActions(): readonly SidecarLinksAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  #send(connection: Connection, frame: SidecarFrame): void {
    const envelope = { sequence: connection.nextSequence, frame };
    connection.nextSequence += 1;
    this.#actions.push({ kind: 'send', connection: connection.number, envelope });
  }

  #close(connection: Connection, reason: string): void {
    this.#actions.push({ kind: 'close', connection: connection.number, reason });
    this.closed(connection.number);
  }

  #refuse(connection: Connection, reason: string): void {
    this.#send(connection, { kind: 'refused', reason });
    this.#actions.push({ kind: 'refused', detail: reason });
    this.#close(connection, reason);
  }

  #closeTimedOutHandshakes(now: Milliseconds): void {
    for (const connection of [...this.#connections.values()]) {
      const isLate = now - connection.acceptedAt >= (this.#options.handshakeTimeoutMs ?? 800);
      if (connection.link === undefined && isLate) this.#close(connection, 'handshake timeout');
    }
  }

  /** Removes silent entries and abandons their exchanges; restarts all timeouts after a pause. */
  #removeSilentEntries(now: Milliseconds): void {
    const wasPaused = now - this.#lastTickAt > PAUSE_THRESHOLD_MS;
    this.#lastTickAt = now;
    for (const [peer, link] of [...this.#links]) {
      if (wasPaused) link.lastReceivedAt = now;
      if (now - link.lastReceivedAt < (this.#options.entryTimeoutMs ?? 10_000)) continue;
      [...link.exchanges.keys()].forEach((exchange) => this.#abandonExchange(link, exchange));
      this.#links.delete(peer);
      if (link.connection !== undefined) this.#close(link.connection, 'entry timeout');
    }
  }

  #sendHeartbeats(now: Milliseconds): void {
    this.#heartbeatAt = now;
    const status = this.#options.status();
    for (const { connection } of this.#links.values()) {
      if (connection !== undefined) {
        this.#send(connection, { kind: 'heartbeat', stamp: now, ...status });
      }
    }
  }

  #handleFrame(connection: Connection, frame: EntryFrame, now: Milliseconds): void {
    if (frame.kind === 'hello') {
      this.#handleHello(connection, frame);
      return;
    }
    if (frame.kind === 'proof') {
      this.#handleProof(connection, frame, now);
      return;
    }
    const { link } = connection;
    if (link === undefined) {
      this.#refuse(connection, `received ${frame.kind} before proof; complete the handshake first`);
      return;
    }
    if (link.connection !== connection) return;
    link.lastReceivedAt = now;
    this.#handleAuthenticatedFrame(link, frame);
  }

  #handleAuthenticatedFrame(
    link: LinkState,
    frame: Exclude<EntryFrame, { kind: 'hello' | 'proof' }>,
  ): void {
    switch (frame.kind) {
      case 'submit':
        this.#handleSubmit(link, frame);
        return;
      case 'acknowledge':
        this.#handleAcknowledge(link, frame);
        return;
      case 'cancel':
        if (!link.exchanges.has(frame.exchange)) return;
        this.#removeExchange(link, frame.exchange);
        this.#actions.push({ kind: 'cancel', exchange: frame.exchange });
        return;
      case 'set-read':
      case 'set-value':
      case 'set-conflict':
        this.#actions.push({ kind: 'set-frame', peer: peerKey(link.identity), frame });
        return;
      default:
        this.#actions.push({
          kind: 'peer-set',
          peer: peerKey(link.identity),
          identity: link.identity,
          set: frame.set,
          demand: frame.demand ?? [],
        });
    }
  }

  #handleHello(connection: Connection, frame: Hello): void {
    const { identity, keys } = this.#options;
    if (connection.hello !== undefined) {
      this.#refuse(connection, 'received a second hello; open another connection');
      return;
    }
    if (frame.version !== LINK_VERSION) {
      const versions = `version ${frame.version}; this sidecar speaks ${LINK_VERSION}`;
      this.#refuse(connection, `the entry speaks link protocol ${versions}`);
      return;
    }
    if (frame.target !== identity.host || frame.identity.role !== 'entry') {
      const wanted = `${frame.identity.role} ${frame.identity.host} wants ${frame.target}`;
      this.#refuse(
        connection,
        `${wanted}, but this is sidecar ${identity.host}; correct the address`,
      );
      return;
    }
    connection.hello = frame;
    this.#send(connection, {
      kind: 'welcome',
      version: LINK_VERSION,
      identity,
      nonce: connection.nonce,
      proof: computeProof(keys[0]!, 'sidecar', this.#handshake(connection, frame)),
    });
  }

  #handshake(connection: Connection, hello: Hello): Parameters<typeof computeProof>[2] {
    return {
      entry: hello.identity,
      sidecar: this.#options.identity,
      epoch: hello.epoch,
      entryNonce: hello.nonce,
      sidecarNonce: connection.nonce,
    };
  }

  #handleProof(
    connection: Connection,
    frame: Extract<EntryFrame, { kind: 'proof' }>,
    now: Milliseconds,
  ): void {
    const { hello } = connection;
    if (hello === undefined) {
      this.#refuse(connection, 'received proof before hello; complete the handshake first');
      return;
    }
    const handshake = this.#handshake(connection, hello);
    const isAuthenticated = this.#options.keys.some((key) =>
      proofsMatch(computeProof(key, 'entry', handshake), frame.proof),
    );
    if (!isAuthenticated) {
      this.#refuse(connection, `entry ${hello.identity.host} has no valid link key; configure one`);
      return;
    }
    this.#attachConnection(connection, hello, frame, now);
  }

  #attachConnection(
    connection: Connection,
    hello: Hello,
    frame: Extract<EntryFrame, { kind: 'proof' }>,
    now: Milliseconds,
  ): void {
    const known = this.#links.get(peerKey(hello.identity));
    const link = known ?? this.#addLink(hello.identity, now);
    if (hello.epoch <= link.epoch) {
      this.#refuse(connection, `epoch ${hello.epoch} is fenced by epoch ${link.epoch}; reconnect`);
      return;
    }
    const previous = link.connection;
    link.epoch = hello.epoch;
    link.connection = connection;
    link.lastReceivedAt = now;
    connection.link = link;
    if (previous !== undefined) this.#close(previous, 'replaced by a newer epoch');
    const unseen = known === undefined ? [] : findUnseen(link, frame.resume);
    this.#send(connection, { kind: 'ready', unseen, stamp: now, ...this.#options.status() });
    this.#abandonUnlisted(link, frame.resume);
    frame.resume.forEach((point) => this.#replayEvents(connection, link, point));
    if (known === undefined) this.#endExchangesOfRemovedEntry(connection, frame.resume);
    const { identity } = hello;
    const peer = peerKey(identity);
    this.#actions.push({ kind: 'peer-set', peer, identity, set: frame.set, demand: [] });
  }

  #addLink(identity: Identity, now: Milliseconds): LinkState {
    const exchanges = new Map<ExchangeId, Exchange>();
    const link = { identity, exchanges, epoch: 0, connection: undefined, lastReceivedAt: now };
    this.#links.set(peerKey(identity), link);
    return link;
  }

  /** Ends exchanges of an entry that was removed as silent; they may have run. */
  #endExchangesOfRemovedEntry(connection: Connection, resume: readonly ResumePoint[]): void {
    const detail = `${this.#options.identity.host} abandoned the request while the link was lost`;
    const outcome = unknown('link-lost', detail);
    resume.forEach(({ exchange, nextEvent: number }) => {
      const event: ExchangeEvent = { kind: 'final', outcome, tokens: 0, digest: '', body: '' };
      this.#send(connection, { kind: 'event', exchange, number, event });
    });
  }

  /** Abandons exchanges that the entry did not list for resumption. */
  #abandonUnlisted(link: LinkState, resume: readonly ResumePoint[]): void {
    const listed = new Set(resume.map((point) => point.exchange));
    for (const exchange of [...link.exchanges.keys()]) {
      if (!listed.has(exchange)) this.#abandonExchange(link, exchange);
    }
  }

  #abandonExchange(link: LinkState, exchange: ExchangeId): void {
    const hasEnded = link.exchanges.get(exchange)?.hasEnded ?? true;
    this.#removeExchange(link, exchange);
    if (!hasEnded) this.#actions.push({ kind: 'cancel', exchange });
  }

  #removeExchange(link: LinkState, exchange: ExchangeId): void {
    link.exchanges.delete(exchange);
    this.#linksByExchange.delete(exchange);
  }

  #replayEvents(connection: Connection, link: LinkState, point: ResumePoint): void {
    const state = link.exchanges.get(point.exchange);
    if (state === undefined) return;
    state.events.slice(Math.max(0, point.nextEvent - state.firstNumber)).forEach((event, index) => {
      const number = Math.max(point.nextEvent, state.firstNumber) + index;
      this.#send(connection, { kind: 'event', exchange: point.exchange, number, event });
    });
  }

  #handleSubmit(link: LinkState, frame: Extract<EntryFrame, { kind: 'submit' }>): void {
    const { exchange, call, generation } = frame;
    if (this.#linksByExchange.has(exchange)) return;
    link.exchanges.set(exchange, { events: [], firstNumber: 0, hasEnded: false });
    this.#linksByExchange.set(exchange, link);
    const deadline = deadlineFromBudget(frame);
    this.#actions.push({ kind: 'run', exchange, call, generation, deadline });
  }

  #handleAcknowledge(link: LinkState, frame: Extract<EntryFrame, { kind: 'acknowledge' }>): void {
    const state = link.exchanges.get(frame.exchange);
    if (state === undefined) return;
    const acknowledged = Math.min(frame.nextEvent - state.firstNumber, state.events.length);
    if (acknowledged > 0) {
      state.events.splice(0, acknowledged);
      state.firstNumber += acknowledged;
    }
    if (state.hasEnded && state.events.length === 0) this.#removeExchange(link, frame.exchange);
  }
}
