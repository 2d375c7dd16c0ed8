import type { Milliseconds } from '../clock/mod.ts';
import type { ExchangeName } from '../identity/mod.ts';
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
import { SequenceCheck } from './sequenceCheck.ts';

/** Numbers the connections that a sidecar has accepted. */
export type ConnectionNumber = number;

/** What a sidecar tells its entries about itself. */
export type SidecarStatus = {
  readonly set: SetStamp;
  readonly report: LoadReport;
  /** Demand over all entries of the tenants that the sidecar relays. */
  readonly demand?: readonly DemandTotal[];
};

/** How to build the sidecar's end of its links. */
export type SidecarLinksOptions = {
  readonly identity: Identity;
  /** Shared link keys; all are accepted. */
  readonly keys: readonly string[];
  /** Returns a random nonce. */
  readonly nonce: () => string;
  /** Returns what heartbeats carry. */
  readonly status: () => SidecarStatus;
  /** Time between heartbeats. @default 250 */
  readonly heartbeatMs?: Milliseconds;
  /** Time for a connection to prove itself. @default 800 */
  readonly openWithinMs?: Milliseconds;
  /** Connections that may be open without proof. @default 256 */
  readonly mostUnproved?: number;
  /**
   * Silence after which an entry's exchanges are abandoned.
   *
   * Longer than an entry's own patience with a lost link. @default 10000
   */
  readonly forgetAfterMs?: Milliseconds;
};

/** What the owner of `SidecarLinks` must do. */
export type SidecarLinksAction =
  | {
      readonly kind: 'send';
      readonly connection: ConnectionNumber;
      readonly envelope: Envelope<SidecarFrame>;
    }
  | { readonly kind: 'close'; readonly connection: ConnectionNumber; readonly reason: string }
  | {
      readonly kind: 'run';
      readonly exchange: ExchangeName;
      readonly call: Call;
      readonly generation: number;
      /** On this process's clock. */
      readonly deadline: Milliseconds;
    }
  | { readonly kind: 'cancel'; readonly exchange: ExchangeName }
  | {
      readonly kind: 'peer-set';
      /** Names one incarnation of an entry. */
      readonly peer: string;
      readonly identity: Identity;
      readonly set: SetStamp;
      /** Demand that the entry sees. */
      readonly demand: readonly TenantDemand[];
    }
  | { readonly kind: 'set-frame'; readonly peer: string; readonly frame: SetFrame }
  | { readonly kind: 'refused'; readonly detail: string };

type Hello = Extract<EntryFrame, { kind: 'hello' }>;

type Connection = {
  readonly number: ConnectionNumber;
  readonly acceptedAt: Milliseconds;
  readonly received: SequenceCheck;
  readonly nonce: string;
  sent: number;
  hello: Hello | undefined;
  link: EntryState | undefined;
};

type Exchange = {
  /** Events that the entry has not acknowledged; the first one has number `first`. */
  readonly events: ExchangeEvent[];
  first: number;
  ended: boolean;
};

type EntryState = {
  readonly identity: Identity;
  readonly exchanges: Map<ExchangeName, Exchange>;
  epoch: number;
  connection: Connection | undefined;
  heardAt: Milliseconds;
};

/** A gap between ticks after which the process takes itself to have been paused. */
const PAUSE_MS: Milliseconds = 2000;

/** Names one incarnation of an entry. */
function entryName({ host, incarnation }: Identity): string {
  return `${host} ${incarnation}`;
}

/** Returns exchanges that never arrived and, their connections being fenced, never will. */
function unseenOf(link: EntryState, resume: readonly ResumePoint[]): readonly ExchangeName[] {
  return resume
    .filter((point) => !link.exchanges.has(point.exchange))
    .map((point) => point.exchange);
}

/** The sidecar's end of its links to all entries, as a state machine without sockets. */
export class SidecarLinks {
  readonly #options: SidecarLinksOptions;

  readonly #connections = new Map<ConnectionNumber, Connection>();

  /** Entries by host and incarnation, so that two incarnations of a host never meet. */
  readonly #entries = new Map<string, EntryState>();

  readonly #owners = new Map<ExchangeName, EntryState>();

  #actions: SidecarLinksAction[] = [];

  #lastHeartbeat: Milliseconds = 0;

  #lastTick: Milliseconds = 0;

  constructor(options: SidecarLinksOptions) {
    this.#options = options;
  }

  /** Exchanges that have not ended. */
  get open(): number {
    let open = 0;
    for (const { exchanges } of this.#entries.values()) {
      for (const exchange of exchanges.values()) if (!exchange.ended) open += 1;
    }
    return open;
  }

  /** Exchanges whose last event an entry has not acknowledged. */
  get unacknowledged(): number {
    return this.#owners.size;
  }

  /** Tells that a connection was accepted; it is refused when too many have not proved themselves. */
  accepted(number: ConnectionNumber, now: Milliseconds): readonly SidecarLinksAction[] {
    const connection = {
      number,
      acceptedAt: now,
      received: new SequenceCheck(),
      nonce: this.#options.nonce(),
      sent: 0,
      hello: undefined,
      link: undefined,
    };
    const unproved = [...this.#connections.values()].filter((each) => each.link === undefined);
    this.#connections.set(number, connection);
    if (unproved.length >= (this.#options.mostUnproved ?? 256)) {
      this.#refuse(connection, 'too many connections have not proved themselves; dial again');
    }
    return this.#takeActions();
  }

  /** Tells that a connection is closed. */
  closed(number: ConnectionNumber): void {
    const connection = this.#connections.get(number);
    this.#connections.delete(number);
    if (connection?.link?.connection === connection && connection?.link !== undefined) {
      connection.link.connection = undefined;
    }
  }

  /** Tells that a frame arrived. */
  received(
    number: ConnectionNumber,
    envelope: Envelope<EntryFrame>,
    now: Milliseconds,
  ): readonly SidecarLinksAction[] {
    const connection = this.#connections.get(number);
    if (connection === undefined) return [];
    const verdict = connection.received.judge(envelope.sequence);
    if (verdict === 'accept') this.#handle(connection, envelope.frame, now);
    if (verdict === 'gap') this.#drop(connection, 'frames are missing');
    return this.#takeActions();
  }

  /** Tells that time has passed. */
  tick(now: Milliseconds): readonly SidecarLinksAction[] {
    this.#closeUnproved(now);
    this.#forgetSilentEntries(now);
    if (now - this.#lastHeartbeat >= (this.#options.heartbeatMs ?? 250)) this.#heartbeat(now);
    return this.#takeActions();
  }

  /** Sends all entries a heartbeat at once, after a change that they should know. */
  announce(now: Milliseconds): readonly SidecarLinksAction[] {
    this.#heartbeat(now);
    return this.#takeActions();
  }

  /** Sends a frame of the set, or drops it when the entry is not connected. */
  sendSet(peer: string, frame: SetFrame): readonly SidecarLinksAction[] {
    const connection = this.#entries.get(peer)?.connection;
    if (connection !== undefined) this.#send(connection, frame);
    return this.#takeActions();
  }

  /** Adds an event to an exchange and sends it if the entry is connected. */
  emit(exchange: ExchangeName, event: ExchangeEvent): readonly SidecarLinksAction[] {
    const owner = this.#owners.get(exchange);
    const state = owner?.exchanges.get(exchange);
    if (owner === undefined || state === undefined || state.ended) return [];
    const number = state.first + state.events.length;
    state.events.push(event);
    state.ended = event.kind === 'final';
    if (owner.connection !== undefined) {
      this.#send(owner.connection, { kind: 'event', exchange, number, event });
    }
    return this.#takeActions();
  }

  #takeActions(): readonly SidecarLinksAction[] {
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  #send(connection: Connection, frame: SidecarFrame): void {
    const envelope = { sequence: connection.sent, frame };
    connection.sent += 1;
    this.#actions.push({ kind: 'send', connection: connection.number, envelope });
  }

  #drop(connection: Connection, reason: string): void {
    this.#actions.push({ kind: 'close', connection: connection.number, reason });
    this.closed(connection.number);
  }

  #refuse(connection: Connection, reason: string): void {
    this.#send(connection, { kind: 'refused', reason });
    this.#actions.push({ kind: 'refused', detail: reason });
    this.#drop(connection, reason);
  }

  #closeUnproved(now: Milliseconds): void {
    for (const connection of [...this.#connections.values()]) {
      const late = now - connection.acceptedAt >= (this.#options.openWithinMs ?? 800);
      if (connection.link === undefined && late) this.#drop(connection, 'it did not prove itself');
    }
  }

  /** Abandons what silent entries asked for; after a pause all get their time anew. */
  #forgetSilentEntries(now: Milliseconds): void {
    const wasPaused = now - this.#lastTick > PAUSE_MS;
    this.#lastTick = now;
    for (const [name, link] of [...this.#entries]) {
      if (wasPaused) link.heardAt = now;
      if (now - link.heardAt < (this.#options.forgetAfterMs ?? 10_000)) continue;
      [...link.exchanges.keys()].forEach((exchange) => this.#abandon(link, exchange));
      this.#entries.delete(name);
      if (link.connection !== undefined) this.#drop(link.connection, 'the entry is silent');
    }
  }

  #heartbeat(now: Milliseconds): void {
    this.#lastHeartbeat = now;
    const status = this.#options.status();
    for (const { connection } of this.#entries.values()) {
      if (connection !== undefined) {
        this.#send(connection, { kind: 'heartbeat', stamp: now, ...status });
      }
    }
  }

  #handle(connection: Connection, frame: EntryFrame, now: Milliseconds): void {
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
      this.#refuse(connection, `${frame.kind} came before proof; complete the handshake first`);
      return;
    }
    if (link.connection !== connection) return;
    link.heardAt = now;
    this.#handleProved(link, frame);
  }

  #handleProved(link: EntryState, frame: Exclude<EntryFrame, { kind: 'hello' | 'proof' }>): void {
    switch (frame.kind) {
      case 'submit':
        this.#handleSubmit(link, frame);
        return;
      case 'acknowledge':
        this.#handleAcknowledge(link, frame);
        return;
      case 'cancel':
        if (!link.exchanges.has(frame.exchange)) return;
        this.#forget(link, frame.exchange);
        this.#actions.push({ kind: 'cancel', exchange: frame.exchange });
        return;
      case 'set-read':
      case 'set-value':
      case 'set-conflict':
        this.#actions.push({ kind: 'set-frame', peer: entryName(link.identity), frame });
        return;
      default:
        this.#actions.push({
          kind: 'peer-set',
          peer: entryName(link.identity),
          identity: link.identity,
          set: frame.set,
          demand: frame.demand ?? [],
        });
    }
  }

  #handleHello(connection: Connection, frame: Hello): void {
    const { identity, keys } = this.#options;
    if (connection.hello !== undefined) {
      this.#refuse(connection, 'hello came twice; open another connection');
      return;
    }
    if (frame.version !== LINK_VERSION) {
      const versions = `version ${frame.version}; this sidecar speaks ${LINK_VERSION}`;
      this.#refuse(connection, `the entry speaks link ${versions}`);
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
      this.#refuse(connection, 'proof came before hello; complete the handshake first');
      return;
    }
    const handshake = this.#handshake(connection, hello);
    const proved = this.#options.keys.some((key) =>
      proofsMatch(computeProof(key, 'entry', handshake), frame.proof),
    );
    if (!proved) {
      this.#refuse(connection, `entry ${hello.identity.host} does not hold the link key; set it`);
      return;
    }
    this.#join(connection, hello, frame, now);
  }

  #join(
    connection: Connection,
    hello: Hello,
    frame: Extract<EntryFrame, { kind: 'proof' }>,
    now: Milliseconds,
  ): void {
    const known = this.#entries.get(entryName(hello.identity));
    const link = known ?? this.#addEntry(hello.identity, now);
    if (hello.epoch <= link.epoch) {
      this.#refuse(connection, `epoch ${hello.epoch} is fenced by epoch ${link.epoch}; redial`);
      return;
    }
    const previous = link.connection;
    link.epoch = hello.epoch;
    link.connection = connection;
    link.heardAt = now;
    connection.link = link;
    if (previous !== undefined) this.#drop(previous, 'a newer epoch took its place');
    const unseen = known === undefined ? [] : unseenOf(link, frame.resume);
    this.#send(connection, { kind: 'ready', unseen, stamp: now, ...this.#options.status() });
    this.#dropUnlisted(link, frame.resume);
    frame.resume.forEach((point) => this.#replay(connection, link, point));
    if (known === undefined) this.#endForgotten(connection, frame.resume);
    const { identity } = hello;
    const peer = entryName(identity);
    this.#actions.push({ kind: 'peer-set', peer, identity, set: frame.set, demand: [] });
  }

  #addEntry(identity: Identity, now: Milliseconds): EntryState {
    const exchanges = new Map<ExchangeName, Exchange>();
    const link = { identity, exchanges, epoch: 0, connection: undefined, heardAt: now };
    this.#entries.set(entryName(identity), link);
    return link;
  }

  /** Ends exchanges of an entry that was forgotten: they may have run. */
  #endForgotten(connection: Connection, resume: readonly ResumePoint[]): void {
    const detail = `${this.#options.identity.host} gave the request up while the link was lost`;
    const outcome = unknown('link-lost', detail);
    resume.forEach(({ exchange, nextEvent: number }) => {
      const event: ExchangeEvent = { kind: 'final', outcome, tokens: 0, digest: '', body: '' };
      this.#send(connection, { kind: 'event', exchange, number, event });
    });
  }

  /** Abandons exchanges that the entry no longer follows. */
  #dropUnlisted(link: EntryState, resume: readonly ResumePoint[]): void {
    const listed = new Set(resume.map((point) => point.exchange));
    for (const exchange of [...link.exchanges.keys()]) {
      if (!listed.has(exchange)) this.#abandon(link, exchange);
    }
  }

  #abandon(link: EntryState, exchange: ExchangeName): void {
    const ended = link.exchanges.get(exchange)?.ended ?? true;
    this.#forget(link, exchange);
    if (!ended) this.#actions.push({ kind: 'cancel', exchange });
  }

  #forget(link: EntryState, exchange: ExchangeName): void {
    link.exchanges.delete(exchange);
    this.#owners.delete(exchange);
  }

  #replay(connection: Connection, link: EntryState, point: ResumePoint): void {
    const state = link.exchanges.get(point.exchange);
    if (state === undefined) return;
    state.events.slice(Math.max(0, point.nextEvent - state.first)).forEach((event, index) => {
      const number = Math.max(point.nextEvent, state.first) + index;
      this.#send(connection, { kind: 'event', exchange: point.exchange, number, event });
    });
  }

  #handleSubmit(link: EntryState, frame: Extract<EntryFrame, { kind: 'submit' }>): void {
    const { exchange, call, generation } = frame;
    if (this.#owners.has(exchange)) return;
    link.exchanges.set(exchange, { events: [], first: 0, ended: false });
    this.#owners.set(exchange, link);
    const deadline = deadlineFromBudget(frame);
    this.#actions.push({ kind: 'run', exchange, call, generation, deadline });
  }

  #handleAcknowledge(link: EntryState, frame: Extract<EntryFrame, { kind: 'acknowledge' }>): void {
    const state = link.exchanges.get(frame.exchange);
    if (state === undefined) return;
    const acknowledged = Math.min(frame.nextEvent - state.first, state.events.length);
    if (acknowledged > 0) {
      state.events.splice(0, acknowledged);
      state.first += acknowledged;
    }
    if (state.ended && state.events.length === 0) this.#forget(link, frame.exchange);
  }
}
