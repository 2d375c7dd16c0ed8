import { BurnRecorder, MetIncarnations } from '../../core/burn/mod.ts';
import type { BurnSnapshot } from '../../core/burn/mod.ts';
import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { ExchangeId } from '../../core/identity/mod.ts';
import { DemandRelay } from '../../core/limits/mod.ts';
import { SidecarLinks } from '../../core/link/mod.ts';
import type {
  Call,
  ConnectionNumber,
  EntryFrame,
  ExchangeEvent,
  Identity,
  LoadReport,
  SetFrame,
  SetStamp,
  SidecarLinksAction,
  SidecarStatus as LinksStatus,
} from '../../core/link/mod.ts';
import { notRun } from '../../core/outcome/mod.ts';
import { createAdaptiveRateLimiter } from '../../core/residence/mod.ts';
import type { PublishedSet } from '../../core/set/mod.ts';
import { limitLogRate } from '../../log/mod.ts';
import type { Log } from '../../log/mod.ts';
import { decodeEnvelope, encodeEnvelope } from '../_codec.ts';
import { dispatch } from '../_handlers.ts';
import type { Handlers } from '../_handlers.ts';
import { Mailbox } from '../mailbox/mod.ts';
import type { Connection, ConnectionEvents, Engine, PlainService } from '../ports/mod.ts';
import type { SetEvent } from '../set/mod.ts';
import { EngineRunner } from './engineRunner.ts';
import type { EngineMessage } from './engineRunner.ts';
import { isKeyedCall, ServiceRunner } from './serviceRunner.ts';
import type { ServiceMessage } from './serviceRunner.ts';

/** The backend server that a sidecar serves. */
export type Backend =
  | { readonly kind: 'engine'; readonly engine: Engine }
  | { readonly kind: 'service'; readonly service: PlainService };

/** Options of a `SidecarTask`. */
export type SidecarTaskOptions = {
  readonly clock: Clock;
  readonly identity: Identity;
  /** Name of the backend server in the set. */
  readonly backendServer: string;
  readonly backend: Backend;
  /** Shared link keys; the first one signs handshakes, all are accepted. */
  readonly linkKeys: readonly string[];
  readonly nonce: () => string;
  readonly log: Log;
  /** Interval between heartbeats. @default 250 */
  readonly heartbeatMs?: Milliseconds;
};

/** A sidecar's status, as shown to operators. */
export type SidecarStatus = {
  readonly identity: Identity;
  readonly generation: number;
  readonly digest: string;
  readonly openExchanges: number;
  readonly leaving: boolean;
  readonly report: LoadReport;
};

type Message =
  | {
      readonly kind: 'accepted';
      readonly number: ConnectionNumber;
      readonly connection: Connection;
    }
  | {
      readonly kind: 'received';
      readonly number: ConnectionNumber;
      readonly bytes: Uint8Array;
    }
  | { readonly kind: 'closed'; readonly number: ConnectionNumber }
  | { readonly kind: 'set'; readonly set: PublishedSet }
  | { readonly kind: 'send-set'; readonly peer: string; readonly frame: SetFrame }
  | { readonly kind: 'tick' }
  | { readonly kind: 'leave'; readonly onDrained: () => void }
  | EngineMessage
  | ServiceMessage;

/** Interval between timer checks. */
const TICK_INTERVAL_MS = 50;

const RETRY_AFTER_MS = 500;

/** Serves entries' calls with the local backend server. */
export class SidecarTask {
  readonly #options: SidecarTaskOptions;

  readonly #links: SidecarLinks;

  readonly #mailbox: Mailbox<Message>;

  readonly #connections = new Map<ConnectionNumber, Connection>();

  readonly #burn: BurnRecorder;

  readonly #demandRelay = new DemandRelay();

  /** Log for events that unauthenticated peers can cause. */
  readonly #rateLimitedLog: Log;

  readonly #entryIncarnations = new MetIncarnations();

  readonly #serviceRunner: ServiceRunner | undefined;

  #engineRunner: EngineRunner | undefined;

  #lastConnectionNumber: ConnectionNumber = 0;

  #set: SetStamp = { generation: 0, digest: '' };

  #cancelTick: Cancellation | undefined;

  #onDrained: (() => void) | undefined;

  #onSetEvent: ((event: SetEvent) => void) | undefined;

  #hasReportedDrained = false;

  constructor(options: SidecarTaskOptions) {
    this.#options = options;
    this.#rateLimitedLog = limitLogRate(options.log, options.clock);
    const { clock, identity, linkKeys, nonce, heartbeatMs = 250 } = options;
    this.#burn = new BurnRecorder({ identity, startedAt: clock.now() });
    this.#links = new SidecarLinks({
      identity,
      keys: linkKeys,
      nonce,
      heartbeatMs,
      status: () => this.#heartbeatStatus(),
    });
    this.#mailbox = new Mailbox<Message>({
      handle: (message) => {
        dispatch(this.#handlers, message);
        this.#checkDrained();
      },
      onError: (error) => options.log('internalError', { detail: String(error) }),
    });
    this.#serviceRunner = this.#createServiceRunner();
  }

  /** Starts the timers. */
  start(): void {
    this.#mailbox.post({ kind: 'tick' });
    this.#cancelTick = this.#options.clock.schedule(TICK_INTERVAL_MS, () => this.start());
  }

  /** Closes all connections. */
  stop(): void {
    this.#cancelTick?.();
    this.#mailbox.close();
    this.#connections.forEach((connection) => connection.close());
    this.#connections.clear();
  }

  /** Accepts a connection from an entry; returns the handlers of its events. */
  accept(connection: Connection): ConnectionEvents {
    this.#lastConnectionNumber += 1;
    const number = this.#lastConnectionNumber;
    this.#mailbox.post({ kind: 'accepted', number, connection });
    return {
      opened: () => undefined,
      received: (bytes) => this.#mailbox.post({ kind: 'received', number, bytes }),
      closed: () => this.#mailbox.post({ kind: 'closed', number }),
    };
  }

  /** Applies a published set; a set with a generation that is not newer is ignored. */
  applySet(set: PublishedSet): void {
    this.#mailbox.post({ kind: 'set', set });
  }

  /** Sets the listener for what entries report about the set. */
  subscribeSetEvents(onSetEvent: (event: SetEvent) => void): void {
    this.#onSetEvent = onSetEvent;
  }

  /** Sends a set frame to an entry. */
  sendSet(peer: string, frame: SetFrame): void {
    this.#mailbox.post({ kind: 'send-set', peer, frame });
  }

  /** Drains: refuses new work and calls `onDrained` once entries have acknowledged all outcomes. */
  leave(onDrained: () => void): void {
    this.#mailbox.post({ kind: 'leave', onDrained });
  }

  /** Returns a snapshot for operators. */
  status(): SidecarStatus {
    return {
      identity: this.#options.identity,
      ...this.#set,
      openExchanges: this.#links.openExchangeCount,
      leaving: this.#onDrained !== undefined,
      report: this.#report(),
    };
  }

  /** Returns the burn snapshot with the entries seen, so that a report can name missing ones. */
  burn(): BurnSnapshot {
    const now = this.#now();
    return this.#burn.snapshot(now, this.#entryIncarnations.list(now));
  }

  readonly #handlers: Handlers<Message, void> = {
    accepted: ({ number, connection }) => {
      this.#connections.set(number, connection);
      this.#performActions(this.#links.accepted(number, this.#now()));
    },
    received: ({ number, bytes }) => this.#receive(number, bytes),
    closed: ({ number }) => {
      this.#connections.delete(number);
      this.#links.closed(number);
    },
    set: ({ set }) => this.#applySet(set),
    'send-set': ({ peer, frame }) => this.#performActions(this.#links.sendSet(peer, frame)),
    tick: () => {
      this.#engineRunner?.tick();
      this.#performActions(this.#links.tick(this.#now()));
    },
    leave: ({ onDrained }) => {
      this.#onDrained = onDrained;
      this.#performActions(this.#links.announce(this.#now()));
    },
    'engine-state': (message) => this.#handleEngineMessage(message),
    'engine-unreachable': (message) => this.#engineRunner?.handle(message),
    'order-reply': (message) => this.#handleEngineMessage(message),
    'engine-event': (message) => this.#engineRunner?.handle(message),
    'service-reply': (message) => this.#serviceRunner?.handle(message),
  };

  /**
   * Handles a message that may change the resident adapter versions and reports a change to entries
   * at once. Otherwise, until the next heartbeat, they would route requests for a loaded adapter to
   * servers that have yet to load it.
   */
  #handleEngineMessage(message: EngineMessage): void {
    const before = this.#engineRunner?.load.resident ?? [];
    this.#engineRunner?.handle(message);
    const after = this.#engineRunner?.load.resident ?? [];
    const isSame = after.length === before.length && after.every((name) => before.includes(name));
    if (!isSame) this.#performActions(this.#links.announce(this.#now()));
  }

  #now(): Milliseconds {
    return this.#options.clock.now();
  }

  #createServiceRunner(): ServiceRunner | undefined {
    const { backend, clock, identity, nonce } = this.#options;
    if (backend.kind !== 'service') return undefined;
    const { host, incarnation } = identity;
    return new ServiceRunner({
      clock,
      service: backend.service,
      log: this.#rateLimitedLog,
      ledger: { host, incarnation, nonce, secret: `${nonce()}${nonce()}` },
      post: (message) => this.#mailbox.post(message),
      emit: (exchange, event) => this.#emit(exchange, event),
    });
  }

  #heartbeatStatus(): LinksStatus {
    const status = { set: this.#set, report: this.#report() };
    const demand = this.#demandRelay.totals(this.#now());
    return demand.length === 0 ? status : { ...status, demand };
  }

  #report(): LoadReport {
    const leaving = this.#onDrained !== undefined || this.#engineRunner?.isSuperseded === true;
    const { backendServer } = this.#options;
    const load = this.#engineRunner?.load ?? {
      running: this.#serviceRunner?.running ?? 0,
      waiting: 0,
      batchWidth: 1,
      resident: [],
    };
    return { ...load, leaving, backendServer };
  }

  #receive(number: ConnectionNumber, bytes: Uint8Array): void {
    const envelope = decodeEnvelope<EntryFrame>(bytes, 'entry');
    if (envelope !== undefined) {
      this.#performActions(this.#links.received(number, envelope, this.#now()));
      return;
    }
    this.#rateLimitedLog('linkDamaged', { connection: number });
    this.#connections.get(number)?.close();
    this.#connections.delete(number);
    this.#links.closed(number);
  }

  #applySet(set: PublishedSet): void {
    if (set.generation <= this.#set.generation) return;
    this.#set = { generation: set.generation, digest: set.digest };
    const { backend, backendServer, clock, log } = this.#options;
    const pool = set.pools.get(set.backendServers.get(backendServer)?.pool ?? '');
    if (backend.kind !== 'engine' || pool === undefined || this.#engineRunner !== undefined) return;
    const servers = [...set.backendServers.values()].filter((each) => each.pool === pool.name);
    this.#engineRunner = new EngineRunner({
      clock,
      engine: backend.engine,
      log,
      slots: pool.slots,
      loadsAtOnce: 1,
      loadRate: createAdaptiveRateLimiter({
        floorPerSecond: pool.loadsPerSecond / servers.length,
        ceilingPerSecond: pool.loadsPerSecond,
      }),
      post: (message) => this.#mailbox.post(message),
      emit: (exchange, event) => this.#emit(exchange, event),
    });
    this.#engineRunner.start();
  }

  #emit(exchange: ExchangeId, event: ExchangeEvent): void {
    this.#performActions(this.#links.emit(exchange, event));
  }

  readonly #actionHandlers: Handlers<SidecarLinksAction, void> = {
    send: ({ connection, envelope }) =>
      this.#connections.get(connection)?.send(encodeEnvelope(envelope)),
    close: ({ connection }) => {
      this.#connections.get(connection)?.close();
      this.#connections.delete(connection);
    },
    run: ({ exchange, call, deadline }) => this.#run(exchange, call, deadline),
    cancel: ({ exchange }) => this.#engineRunner?.cancel(exchange),
    'peer-set': ({ peer, identity, set, demand }) => {
      this.#entryIncarnations.recordContact(identity, this.#now());
      this.#demandRelay.applyReport(identity.host, demand, this.#now());
      this.#onSetEvent?.({ kind: 'peer-set', peer, set });
    },
    'set-frame': ({ peer, frame }) => this.#onSetEvent?.({ kind: 'peer-frame', peer, frame }),
    refused: ({ detail }) => this.#rateLimitedLog('linkRefused', { detail }),
  };

  #performActions(actions: readonly SidecarLinksAction[]): void {
    actions.forEach((action) => dispatch(this.#actionHandlers, action));
  }

  #run(exchange: ExchangeId, call: Call, deadline: Milliseconds): void {
    const isNewWork = call.kind === 'completion' || call.kind === 'mint-key';
    if (isNewWork && this.#onDrained !== undefined) {
      this.#refuse(exchange, 'leaving', 'this host is shutting down; retry the request');
      return;
    }
    if (isKeyedCall(call) && this.#serviceRunner !== undefined) {
      const mayBegin = this.#onDrained === undefined;
      const admissibleCall =
        call.kind === 'service-call' && !mayBegin ? { ...call, mayBegin } : call;
      this.#serviceRunner.run(exchange, admissibleCall, deadline);
      return;
    }
    if (!isKeyedCall(call) && this.#engineRunner !== undefined) {
      this.#engineRunner.run(exchange, call, deadline);
      return;
    }
    this.#refuse(
      exchange,
      'starting',
      'this host is not ready for this kind of call; retry the request',
    );
  }

  #refuse(exchange: ExchangeId, reason: 'leaving' | 'starting', detail: string): void {
    const outcome = notRun(reason, detail, RETRY_AFTER_MS);
    this.#emit(exchange, { kind: 'final', outcome, tokens: 0, digest: '', body: '' });
  }

  #checkDrained(): void {
    const isEmpty =
      this.#links.openExchangeCount === 0 && this.#links.unacknowledgedExchangeCount === 0;
    if (!isEmpty || this.#hasReportedDrained || this.#onDrained === undefined) return;
    this.#hasReportedDrained = true;
    this.#onDrained();
  }
}
