import { AdapterScheduler } from '../../core/adapters/mod.ts';
import type { ModelOrder } from '../../core/adapters/mod.ts';
import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Holding } from '../../core/serving/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import type { EngineOrder, EngineReport, OrderAnswer } from '../../platform/mod.ts';
import { FactCopies } from '../../core/factCopies/mod.ts';
import { WorkOfEntries } from '../../core/serverRoom/mod.ts';
import { OriginLedger } from '../../core/streamOrigins/mod.ts';
import { dispatch } from '../_handlers.ts';
import type { Handlers } from '../_handlers.ts';
import { noteOrigins } from '../_originMessages.ts';
import type { Accept, Connection } from '../ports/mod.ts';
import { decodeEntryMessage, encodeMessage } from './messages.ts';
import type { EntryMessage, KeeperMessage } from './messages.ts';

/** The engine that a keeper manages. */
export type ManagedEngine = {
  readonly report: () => Promise<EngineReport>;
  readonly order: (order: EngineOrder) => Promise<OrderAnswer>;
};

/** Options of `Keeper`. */
export type KeeperOptions = {
  readonly host: string;
  readonly engine: ManagedEngine;
  readonly clock: Clock;
  /** Returns the wall-clock time in milliseconds, from which fencing tokens start. */
  readonly wallClock: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** Poll interval while an adapter is requested or being loaded. */
const BUSY_POLL_INTERVAL_MS: Milliseconds = 15;

/** Poll interval otherwise. */
const IDLE_POLL_INTERVAL_MS: Milliseconds = 100;

/** Poll interval while entries choose servers by room; the report is free for the process beside the engine. */
const ROOM_POLL_INTERVAL_MS: Milliseconds = 25;

/** Shortest time between two messages about the room to one entry. */
const MIN_ROOM_INTERVAL_MS: Milliseconds = 40;

/**
 * Room messages that a keeper sends in a second, at most. With 24 entries each is told every 120 ms, with 300
 * every 1.5 s. At 500 messages, entries with a fifth of a core would spend a fourth of it on 31 servers (estimated).
 */
const MAX_ROOM_MESSAGES_PER_SECOND = 200;

/** Shortest time between two states that are sent for the load alone while the room is sent anyway. */
const MIN_STATE_INTERVAL_MS: Milliseconds = 100;

/** Time until the next poll after a failed one. */
const FAILED_POLL_DELAY_MS: Milliseconds = 200;

/** Longest time between two messages to an entry; entries time out after three times as long. */
const HEARTBEAT_INTERVAL_MS: Milliseconds = 500;

/** Smallest change in the number of the engine's requests that is reported at once. */
const MIN_LOAD_CHANGE = 3;

type Link = {
  readonly connection: Connection;
  /** Id of the entry; empty before its first message. */
  entryId: string;
  /** Holdings that were sent last, as text. */
  sentHoldings: string;
  /** Free slots, awaited loads and fencing token of the last message, as text. */
  sentState: string;
  /** Running and queued requests in the last message. */
  sentLoad: number;
  sentAt: Milliseconds;
  /** Last message about the room, as text, and when it was sent. */
  sentRoom: string;
  roomSentAt: Milliseconds;
};

function describeHoldings(holdings: readonly Holding[]): string {
  return holdings.map(({ name, version }) => `${name}@${version}`).join(' ');
}

/**
 * Manages one engine: only it sends load and unload orders, and it reports to the entries. It also keeps
 * where streams began and what the entries tell each other, since it lives on when entries end.
 */
export class Keeper {
  readonly #options: KeeperOptions;

  readonly #scheduler = new AdapterScheduler();

  readonly #links = new Set<Link>();

  /** Where streams began, kept for the entries, which may all end at once. */
  readonly #origins = new OriginLedger();

  /** What the entries tell each other, kept for the same reason. */
  readonly #facts = new FactCopies();

  /** What the entries that choose servers by room have sent to the engine. */
  readonly #work = new WorkOfEntries<Link>();

  #report: EngineReport | undefined;

  /** Holdings of the last report as one string, compared to detect changes per link. */
  #holdingsText = '';

  /** The engine's newest server record that an entry has named. */
  #server: { readonly id: string; readonly bornAt: number } | undefined;

  #fencingToken: number;

  #isClosed = false;

  #isPolling = false;

  #cancelPoll: Cancellation | undefined;

  constructor(options: KeeperOptions) {
    this.#options = options;
    this.#fencingToken = options.wallClock();
  }

  /** Accepts links from entries. */
  readonly accept: Accept = (connection) => {
    const now = this.#options.clock.now();
    const link: Link = {
      connection,
      entryId: '',
      sentHoldings: '',
      sentState: '',
      sentLoad: 0,
      sentAt: now,
      sentRoom: '',
      roomSentAt: -Infinity,
    };
    return {
      opened: () => undefined,
      received: (bytes) => this.#receive(link, bytes),
      closed: () => {
        this.#links.delete(link);
        this.#work.delete(link, this.#options.clock.now());
        const isLast = ![...this.#links].some(({ entryId }) => entryId === link.entryId);
        if (isLast) this.#scheduler.forgetEntry(link.entryId);
      },
    };
  };

  /** Starts polling the engine. */
  start(): void {
    this.#schedule(0);
  }

  /** Stops polling and closes all links. */
  close(): void {
    this.#isClosed = true;
    this.#cancelPoll?.();
    this.#links.forEach(({ connection }) => connection.close());
  }

  #receive(link: Link, bytes: Uint8Array): void {
    const message = decodeEntryMessage(bytes);
    if (message === undefined) {
      this.#options.log('messageUnreadable', { from: link.entryId, bytes: bytes.length });
      return;
    }
    const handlers: Handlers<EntryMessage, void> = {
      hello: (hello) => this.#receiveHello(link, hello),
      want: ({ name, version, waitMs }) => {
        this.#scheduler.requestLoad(name, version, waitMs, this.#options.clock.now());
        this.#schedule(0);
      },
      use: ({ name, count }) =>
        this.#scheduler.setUseCount(link.entryId, name, count, this.#options.clock.now()),
      work: (work) => this.#receiveWork(link, work),
      facts: ({ facts }) => this.#facts.keep(link.entryId, facts, this.#options.clock.now()),
      'stream-origins': (origins) => noteOrigins(this.#origins, origins, this.#options.clock.now()),
      'origin-query': ({ query }) => {
        const version = this.#origins.find(query, this.#options.clock.now())?.version;
        const answer = { number: query.number, version };
        link.connection.send(encodeMessage({ kind: 'origin-answer', answer }));
      },
    };
    dispatch(handlers, message);
  }

  #receiveWork(link: Link, work: Extract<EntryMessage, { kind: 'work' }>): void {
    const isFirst = this.#work.size === 0;
    this.#work.set(link, work, this.#options.clock.now());
    if (isFirst) this.#schedule(0);
  }

  #receiveHello(link: Link, hello: Extract<EntryMessage, { kind: 'hello' }>): void {
    if (link.entryId === '') {
      this.#facts
        .copiesFor(hello.entry, this.#options.clock.now())
        .forEach((facts) => link.connection.send(encodeMessage({ kind: 'facts', facts })));
    }
    link.entryId = hello.entry;
    this.#links.add(link);
    this.#scheduler.applyEngine(hello.engine);
    if (hello.bornAt >= (this.#server?.bornAt ?? 0)) {
      this.#server = { id: hello.serverId, bornAt: hello.bornAt };
    }
    if (hello.fencingToken > this.#fencingToken) this.#fencingToken = hello.fencingToken + 1;
    this.#sendReport(link);
  }

  #schedule(delay: Milliseconds): void {
    if (this.#isClosed || this.#isPolling) return;
    this.#cancelPoll?.();
    this.#cancelPoll = this.#options.clock.schedule(delay, () => {
      this.#isPolling = true;
      this.#poll()
        .catch((error: unknown) => {
          this.#options.log('internalError', { error: String(error) });
          return FAILED_POLL_DELAY_MS;
        })
        .then((next) => {
          this.#isPolling = false;
          this.#schedule(next);
        });
    });
  }

  /** Reads a report and sends the next order, if any; returns the time until the next poll. */
  async #poll(): Promise<Milliseconds> {
    const { clock, log, engine } = this.#options;
    let report: EngineReport;
    try {
      report = await engine.report();
    } catch (error) {
      if (this.#report !== undefined) log('engineDown', { error: String(error) });
      this.#report = undefined;
      return FAILED_POLL_DELAY_MS;
    }
    this.#applyReport(report);
    this.#work.expire(clock.now());
    const order = this.#links.size === 0 ? undefined : this.#scheduler.nextOrder(clock.now());
    if (order !== undefined) await this.#sendOrder(order, report);
    this.#links.forEach((link) => {
      this.#sendReport(link);
      this.#sendRoom(link);
    });
    if (order !== undefined) return 1;
    return this.#scheduler.awaited + report.coming.length > 0
      ? BUSY_POLL_INTERVAL_MS
      : this.#idlePollIntervalMs;
  }

  get #idlePollIntervalMs(): Milliseconds {
    return this.#work.size > 0 ? ROOM_POLL_INTERVAL_MS : IDLE_POLL_INTERVAL_MS;
  }

  #applyReport(report: EngineReport): void {
    const { clock, log } = this.#options;
    const previous = this.#report;
    if (previous !== undefined && previous.bornAt !== report.bornAt) {
      log('engineRestarted', { bornAt: report.bornAt });
    }
    this.#report = report;
    this.#holdingsText = describeHoldings(report.holdings);
    this.#scheduler.applyHoldings(report, clock.now());
  }

  async #sendOrder(order: ModelOrder, report: EngineReport): Promise<void> {
    const { host, engine, clock, log, metrics } = this.#options;
    const startedAt = clock.now();
    const isSameServer = this.#server !== undefined && this.#server.bornAt === report.bornAt;
    let answer: OrderAnswer | 'lost';
    try {
      answer = await engine.order({
        ...order,
        holder: host,
        fencingToken: this.#fencingToken,
        ordersAccepted: report.ordersAccepted,
        ...(isSameServer && { serverId: this.#server!.id }),
      });
    } catch (error) {
      answer = 'lost';
      this.#scheduler.noteUnconfirmed(order, clock.now());
      log('engineDown', { error: String(error) });
    }
    if (answer === 'fenced') {
      this.#fencingToken = Math.max(this.#fencingToken + 1, this.#options.wallClock());
    }
    metrics.count('orders_total', { order: order.kind, answer });
    metrics.record('order_ms', clock.now() - startedAt);
    log('placeOrdered', {
      order: order.kind,
      adapter: order.name,
      version: order.version,
      answer,
      fencingToken: this.#fencingToken,
      ordersAccepted: report.ordersAccepted,
      awaited: this.#scheduler.awaited,
      tookMs: Math.round(clock.now() - startedAt),
    });
  }

  #sendReport(link: Link): void {
    const report = this.#report;
    const now = this.#options.clock.now();
    if (report === undefined || link.entryId === '') return;
    const holdings = this.#holdingsText;
    const load = report.running + report.queued;
    const freeablePlaces = this.#scheduler.freeablePlaces(now);
    const state = `${freeablePlaces} ${this.#scheduler.awaited} ${this.#fencingToken}`;
    const isDue =
      holdings !== link.sentHoldings ||
      (state !== link.sentState && now - link.sentAt > BUSY_POLL_INTERVAL_MS * 3) ||
      (Math.abs(load - link.sentLoad) >= MIN_LOAD_CHANGE && this.#isLoadDue(link, now)) ||
      now - link.sentAt >= HEARTBEAT_INTERVAL_MS;
    if (!isDue) return;
    const message: KeeperMessage = {
      kind: 'state',
      ...(holdings === link.sentHoldings ? {} : { holdings: report.holdings }),
      running: report.running,
      queued: report.queued,
      freeablePlaces,
      awaited: this.#scheduler.awaited,
      fencingToken: this.#fencingToken,
    };
    link.sentHoldings = holdings;
    link.sentState = state;
    link.sentLoad = load;
    link.sentAt = now;
    link.connection.send(encodeMessage(message));
  }

  /** Whether a state may be sent for a change of the load alone. */
  #isLoadDue(link: Link, now: Milliseconds): boolean {
    return !this.#work.has(link) || now - link.sentAt >= MIN_STATE_INTERVAL_MS;
  }

  /** Tells an entry that reports its work what the engine has taken on, if that has changed. */
  #sendRoom(link: Link): void {
    const report = this.#report;
    if (report === undefined || !this.#work.has(link)) return;
    const now = this.#options.clock.now();
    const intervalMs = Math.max(
      MIN_ROOM_INTERVAL_MS,
      (this.#work.size * 1000) / MAX_ROOM_MESSAGES_PER_SECOND,
    );
    // Polls are not exact: a message that is due within half an interval is sent now.
    if (now - link.roomSentAt < intervalMs - ROOM_POLL_INTERVAL_MS / 2) return;
    const others = this.#work.othersOf(link);
    const speed = this.#work.promptTokensPerMs;
    const message: KeeperMessage = {
      kind: 'room',
      running: report.running,
      queued: report.queued,
      used: report.memoryUsedTokens,
      memory: report.memoryTokens,
      others: [others.requests, others.promptTokens, others.outputTokens],
      ...(speed !== undefined && { speed: Math.round(speed * 10) / 10 }),
    };
    const text = JSON.stringify(message);
    if (text === link.sentRoom && now - link.roomSentAt < HEARTBEAT_INTERVAL_MS) return;
    link.sentRoom = text;
    link.roomSentAt = now;
    link.connection.send(encodeMessage(message));
  }
}
