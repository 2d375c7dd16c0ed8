import { BurnRecorder, MetIncarnations } from '../../core/burn/mod.ts';
import type { BurnSnapshot } from '../../core/burn/mod.ts';
import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { ExchangeName } from '../../core/identity/mod.ts';
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
import { createAdaptiveRate } from '../../core/residence/mod.ts';
import type { PublishedSet } from '../../core/set/mod.ts';
import type { Log } from '../../log/mod.ts';
import { decodeEnvelope, encodeEnvelope } from '../_codec.ts';
import { dispatch } from '../_handlers.ts';
import type { Handlers } from '../_handlers.ts';
import { limitLogRate } from '../_limitLogRate.ts';
import { Mailbox } from '../mailbox/mod.ts';
import type { Connection, ConnectionEvents, Engine, PlainService } from '../ports/mod.ts';
import type { SetNews } from '../set/mod.ts';
import { EngineRunner } from './engineRunner.ts';
import type { EngineMessage } from './engineRunner.ts';
import { isKeyedCall, ServiceRunner } from './serviceRunner.ts';
import type { ServiceMessage } from './serviceRunner.ts';

/** The backend server that a sidecar stands beside. */
export type Backend =
  | { readonly kind: 'engine'; readonly engine: Engine }
  | { readonly kind: 'service'; readonly service: PlainService };

/** How to build a `SidecarTask`. */
export type SidecarTaskOptions = {
  readonly clock: Clock;
  readonly identity: Identity;
  /** The backend server's name in the set. */
  readonly backendServer: string;
  readonly backend: Backend;
  /** Shared link keys; the first one signs, all are accepted. */
  readonly linkKeys: readonly string[];
  readonly nonce: () => string;
  readonly log: Log;
  /** Time between heartbeats. @default 250 */
  readonly heartbeatMs?: Milliseconds;
};

/** What a sidecar tells of itself. */
export type SidecarStatus = {
  readonly identity: Identity;
  readonly generation: number;
  readonly digest: string;
  readonly openExchanges: number;
  readonly leaving: boolean;
  readonly report: LoadReport;
};

type Message =
  | { readonly kind: 'accepted'; readonly number: ConnectionNumber; readonly peer: Connection }
  | {
      readonly kind: 'received';
      readonly number: ConnectionNumber;
      readonly bytes: Uint8Array;
    }
  | { readonly kind: 'closed'; readonly number: ConnectionNumber }
  | { readonly kind: 'set'; readonly set: PublishedSet }
  | { readonly kind: 'send-set'; readonly peer: string; readonly frame: SetFrame }
  | { readonly kind: 'tick' }
  | { readonly kind: 'leave'; readonly onEmpty: () => void }
  | EngineMessage
  | ServiceMessage;

/** Time between looks at timers. */
const TICK_MS = 50;

const RETRY_AFTER_MS = 500;

/** Serves entries by the one backend server beside it. */
export class SidecarTask {
  readonly #options: SidecarTaskOptions;

  readonly #links: SidecarLinks;

  readonly #mailbox: Mailbox<Message>;

  readonly #connections = new Map<ConnectionNumber, Connection>();

  readonly #burn: BurnRecorder;

  readonly #demand = new DemandRelay();

  /** For events that a stranger can cause. */
  readonly #guardedLog: Log;

  readonly #met = new MetIncarnations();

  readonly #serviceRunner: ServiceRunner | undefined;

  #engineRunner: EngineRunner | undefined;

  #lastConnection: ConnectionNumber = 0;

  #set: SetStamp = { generation: 0, digest: '' };

  #cancelTick: Cancellation | undefined;

  #onEmpty: (() => void) | undefined;

  #onSetNews: ((news: SetNews) => void) | undefined;

  #toldEmpty = false;

  constructor(options: SidecarTaskOptions) {
    this.#options = options;
    this.#guardedLog = limitLogRate(options.log, options.clock);
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
        this.#checkEmpty();
      },
      onError: (error) => options.log('internalError', { detail: String(error) }),
    });
    this.#serviceRunner = this.#createServiceRunner();
  }

  /** Starts the timers. */
  start(): void {
    this.#mailbox.post({ kind: 'tick' });
    this.#cancelTick = this.#options.clock.schedule(TICK_MS, () => this.start());
  }

  /** Closes all connections. */
  stop(): void {
    this.#cancelTick?.();
    this.#mailbox.close();
    this.#connections.forEach((connection) => connection.close());
    this.#connections.clear();
  }

  /** Takes a connection from an entry. */
  accept(peer: Connection): ConnectionEvents {
    this.#lastConnection += 1;
    const number = this.#lastConnection;
    this.#mailbox.post({ kind: 'accepted', number, peer });
    return {
      opened: () => undefined,
      received: (bytes) => this.#mailbox.post({ kind: 'received', number, bytes }),
      closed: () => this.#mailbox.post({ kind: 'closed', number }),
    };
  }

  /** Takes a published set; sets must come in rising order of generation. */
  applySet(set: PublishedSet): void {
    this.#mailbox.post({ kind: 'set', set });
  }

  /** Sets who is told what the links say of the set. */
  followSetNews(onSetNews: (news: SetNews) => void): void {
    this.#onSetNews = onSetNews;
  }

  /** Sends a frame of the set to an entry. */
  sendSet(peer: string, frame: SetFrame): void {
    this.#mailbox.post({ kind: 'send-set', peer, frame });
  }

  /** Refuses new work and calls `onEmpty` once all work has ended and entries know it. */
  leave(onEmpty: () => void): void {
    this.#mailbox.post({ kind: 'leave', onEmpty });
  }

  /** Returns a snapshot for operators. */
  status(): SidecarStatus {
    return {
      identity: this.#options.identity,
      ...this.#set,
      openExchanges: this.#links.open,
      leaving: this.#onEmpty !== undefined,
      report: this.#report(),
    };
  }

  /** Returns which entries were met, so that a report can name those that are missing. */
  burn(): BurnSnapshot {
    const now = this.#now();
    return this.#burn.snapshot(now, this.#met.list(now));
  }

  readonly #handlers: Handlers<Message, void> = {
    accepted: ({ number, peer }) => {
      this.#connections.set(number, peer);
      this.#perform(this.#links.accepted(number, this.#now()));
    },
    received: ({ number, bytes }) => this.#receive(number, bytes),
    closed: ({ number }) => {
      this.#connections.delete(number);
      this.#links.closed(number);
    },
    set: ({ set }) => this.#takeSet(set),
    'send-set': ({ peer, frame }) => this.#perform(this.#links.sendSet(peer, frame)),
    tick: () => {
      this.#engineRunner?.tick();
      this.#perform(this.#links.tick(this.#now()));
    },
    leave: ({ onEmpty }) => {
      this.#onEmpty = onEmpty;
      this.#perform(this.#links.announce(this.#now()));
    },
    'engine-state': (message) => this.#handleResidence(message),
    'engine-silent': (message) => this.#engineRunner?.handle(message),
    'order-reply': (message) => this.#handleResidence(message),
    'engine-event': (message) => this.#engineRunner?.handle(message),
    'service-reply': (message) => this.#serviceRunner?.handle(message),
  };

  /**
   * Handles what may change the resident adapter versions, and tells entries of a change at once: by
   * the next heartbeat they would have sent requests to servers that only begin to load.
   */
  #handleResidence(message: EngineMessage): void {
    const before = this.#engineRunner?.load.resident ?? [];
    this.#engineRunner?.handle(message);
    const after = this.#engineRunner?.load.resident ?? [];
    const isSame = after.length === before.length && after.every((name) => before.includes(name));
    if (!isSame) this.#perform(this.#links.announce(this.#now()));
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
      log: this.#guardedLog,
      ledger: { host, incarnation, nonce, secret: `${nonce()}${nonce()}` },
      post: (message) => this.#mailbox.post(message),
      emit: (exchange, event) => this.#emit(exchange, event),
    });
  }

  #heartbeatStatus(): LinksStatus {
    const status = { set: this.#set, report: this.#report() };
    const demand = this.#demand.totals(this.#now());
    return demand.length === 0 ? status : { ...status, demand };
  }

  #report(): LoadReport {
    const leaving = this.#onEmpty !== undefined || this.#engineRunner?.superseded === true;
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
      this.#perform(this.#links.received(number, envelope, this.#now()));
      return;
    }
    this.#guardedLog('linkDamaged', { connection: number });
    this.#connections.get(number)?.close();
    this.#connections.delete(number);
    this.#links.closed(number);
  }

  #takeSet(set: PublishedSet): void {
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
      loadRate: createAdaptiveRate({
        floorPerSecond: pool.loadsPerSecond / servers.length,
        ceilingPerSecond: pool.loadsPerSecond,
      }),
      post: (message) => this.#mailbox.post(message),
      emit: (exchange, event) => this.#emit(exchange, event),
    });
    this.#engineRunner.start();
  }

  #emit(exchange: ExchangeName, event: ExchangeEvent): void {
    this.#perform(this.#links.emit(exchange, event));
  }

  readonly #performers: Handlers<SidecarLinksAction, void> = {
    send: ({ connection, envelope }) =>
      this.#connections.get(connection)?.send(encodeEnvelope(envelope)),
    close: ({ connection }) => {
      this.#connections.get(connection)?.close();
      this.#connections.delete(connection);
    },
    run: ({ exchange, call, deadline }) => this.#run(exchange, call, deadline),
    cancel: ({ exchange }) => this.#engineRunner?.cancel(exchange),
    'peer-set': ({ peer, identity, set, demand }) => {
      this.#met.note(identity, this.#now());
      this.#demand.note(identity.host, demand, this.#now());
      this.#onSetNews?.({ kind: 'peer-set', peer, set });
    },
    'set-frame': ({ peer, frame }) => this.#onSetNews?.({ kind: 'peer-frame', peer, frame }),
    refused: ({ detail }) => this.#guardedLog('linkRefused', { detail }),
  };

  #perform(actions: readonly SidecarLinksAction[]): void {
    actions.forEach((action) => dispatch(this.#performers, action));
  }

  #run(exchange: ExchangeName, call: Call, deadline: Milliseconds): void {
    const isNewWork = call.kind === 'completion' || call.kind === 'mint-key';
    if (isNewWork && this.#onEmpty !== undefined) {
      this.#refuse(exchange, 'leaving', 'this host is leaving; ask again');
      return;
    }
    if (isKeyedCall(call) && this.#serviceRunner !== undefined) {
      const mayBegin = this.#onEmpty === undefined;
      const judged = call.kind === 'service-call' && !mayBegin ? { ...call, mayBegin } : call;
      this.#serviceRunner.run(exchange, judged, deadline);
      return;
    }
    if (!isKeyedCall(call) && this.#engineRunner !== undefined) {
      this.#engineRunner.run(exchange, call, deadline);
      return;
    }
    this.#refuse(exchange, 'starting', 'this host is not ready for such calls; ask again');
  }

  #refuse(exchange: ExchangeName, reason: 'leaving' | 'starting', detail: string): void {
    const outcome = notRun(reason, detail, RETRY_AFTER_MS);
    this.#emit(exchange, { kind: 'final', outcome, tokens: 0, digest: '', body: '' });
  }

  #checkEmpty(): void {
    const isEmpty = this.#links.open === 0 && this.#links.unacknowledged === 0;
    if (!isEmpty || this.#toldEmpty || this.#onEmpty === undefined) return;
    this.#toldEmpty = true;
    this.#onEmpty();
  }
}
