import { AdapterPlaces } from '../../core/adapters/mod.ts';
import type { PlaceOrder } from '../../core/adapters/mod.ts';
import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Holding } from '../../core/serving/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import type { EngineOrder, EngineReport, OrderAnswer } from '../../platform/mod.ts';
import { dispatch } from '../_handlers.ts';
import type { Handlers } from '../_handlers.ts';
import type { Accept, Connection } from '../ports/mod.ts';
import { decodeEntryMessage, encodeMessage } from './messages.ts';
import type { EntryMessage, KeeperMessage } from './messages.ts';

/** The engine that a keeper looks after. */
export type KeptEngine = {
  readonly report: () => Promise<EngineReport>;
  readonly order: (order: EngineOrder) => Promise<OrderAnswer>;
};

/** How to build a `Keeper`. */
export type KeeperOptions = {
  readonly host: string;
  readonly engine: KeptEngine;
  readonly clock: Clock;
  /** Wall-clock time, the base of the first fencing token. */
  readonly wallClock: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** Time between reports while an adapter is awaited or on its way. */
const BUSY_POLL_MS: Milliseconds = 15;

/** Time between reports otherwise. */
const CALM_POLL_MS: Milliseconds = 100;

/** Time after a report that failed. */
const DOWN_POLL_MS: Milliseconds = 200;

/** The longest time without a word to the entries; they count thrice as much as silence. */
const HEARTBEAT_MS: Milliseconds = 500;

/** Change in the number of running requests that is told at once. */
const TOLD_CHANGE = 3;

type Link = {
  readonly connection: Connection;
  entry: string;
  toldHoldings: string;
  toldState: string;
  toldLoad: number;
  toldAt: Milliseconds;
};

function describeHoldings(holdings: readonly Holding[]): string {
  return holdings.map(({ name, version }) => `${name}@${version}`).join(' ');
}

/** Looks after one engine: the only sender of orders to it, and the teller of what it holds. */
export class Keeper {
  readonly #options: KeeperOptions;

  readonly #places = new AdapterPlaces();

  readonly #links = new Set<Link>();

  #report: EngineReport | undefined;

  /** The report's holdings as one text, by which links notice that they changed. */
  #holdingsText = '';

  #server: { readonly id: string; readonly bornAt: number } | undefined;

  #fencingToken: number;

  #isClosed = false;

  #isTurning = false;

  #cancelTurn: Cancellation | undefined;

  constructor(options: KeeperOptions) {
    this.#options = options;
    this.#fencingToken = options.wallClock();
  }

  /** Accepts links of entries. */
  readonly accept: Accept = (connection) => {
    const now = this.#options.clock.now();
    const link: Link = {
      connection,
      entry: '',
      toldHoldings: '',
      toldState: '',
      toldLoad: 0,
      toldAt: now,
    };
    return {
      opened: () => undefined,
      received: (bytes) => this.#receive(link, bytes),
      closed: () => {
        this.#links.delete(link);
        const isLast = ![...this.#links].some(({ entry }) => entry === link.entry);
        if (isLast) this.#places.forgetEntry(link.entry);
      },
    };
  };

  /** Begins to read reports. */
  start(): void {
    this.#schedule(0);
  }

  /** Gives no more orders. */
  close(): void {
    this.#isClosed = true;
    this.#cancelTurn?.();
    this.#links.forEach(({ connection }) => connection.close());
  }

  #receive(link: Link, bytes: Uint8Array): void {
    const message = decodeEntryMessage(bytes);
    if (message === undefined) {
      this.#options.log('messageUnreadable', { from: link.entry, bytes: bytes.length });
      return;
    }
    const handlers: Handlers<EntryMessage, void> = {
      hello: (hello) => this.#greet(link, hello),
      want: ({ name, version, waitMs }) => {
        this.#places.want(name, version, waitMs, this.#options.clock.now());
        this.#schedule(0);
      },
      use: ({ name, count }) =>
        this.#places.use(link.entry, name, count, this.#options.clock.now()),
    };
    dispatch(handlers, message);
  }

  #greet(link: Link, hello: Extract<EntryMessage, { kind: 'hello' }>): void {
    link.entry = hello.entry;
    this.#links.add(link);
    this.#places.applyEngine(hello.engine);
    if (hello.bornAt >= (this.#server?.bornAt ?? 0)) {
      this.#server = { id: hello.serverId, bornAt: hello.bornAt };
    }
    if (hello.fencingToken > this.#fencingToken) this.#fencingToken = hello.fencingToken + 1;
    this.#tell(link);
  }

  #schedule(delay: Milliseconds): void {
    if (this.#isClosed || this.#isTurning) return;
    this.#cancelTurn?.();
    this.#cancelTurn = this.#options.clock.schedule(delay, () => {
      this.#isTurning = true;
      this.#turn()
        .catch((error: unknown) => {
          this.#options.log('internalError', { error: String(error) });
          return DOWN_POLL_MS;
        })
        .then((next) => {
          this.#isTurning = false;
          this.#schedule(next);
        });
    });
  }

  /** Reads a report and gives the order that it calls for; returns the time until the next turn. */
  async #turn(): Promise<Milliseconds> {
    const { clock, log, engine } = this.#options;
    let report: EngineReport;
    try {
      report = await engine.report();
    } catch (error) {
      if (this.#report !== undefined) log('engineDown', { error: String(error) });
      this.#report = undefined;
      return DOWN_POLL_MS;
    }
    this.#applyReport(report);
    const order = this.#links.size === 0 ? undefined : this.#places.nextOrder(clock.now());
    if (order !== undefined) await this.#give(order, report);
    this.#links.forEach((link) => this.#tell(link));
    if (order !== undefined) return 1;
    return this.#places.awaited + report.coming.length > 0 ? BUSY_POLL_MS : CALM_POLL_MS;
  }

  #applyReport(report: EngineReport): void {
    const { clock, log } = this.#options;
    const known = this.#report;
    if (known !== undefined && known.bornAt !== report.bornAt) {
      log('engineRestarted', { bornAt: report.bornAt });
    }
    this.#report = report;
    this.#holdingsText = describeHoldings(report.holdings);
    this.#places.applyHoldings(report, clock.now());
  }

  async #give(order: PlaceOrder, report: EngineReport): Promise<void> {
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
      this.#places.noteUnsettled(order, clock.now());
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
      awaited: this.#places.awaited,
      tookMs: Math.round(clock.now() - startedAt),
    });
  }

  #tell(link: Link): void {
    const report = this.#report;
    const now = this.#options.clock.now();
    if (report === undefined || link.entry === '') return;
    const holdings = this.#holdingsText;
    const load = report.running + report.queued;
    const places = this.#places.freeablePlaces(now);
    const state = `${places} ${this.#places.awaited} ${this.#fencingToken}`;
    const isNews =
      holdings !== link.toldHoldings ||
      (state !== link.toldState && now - link.toldAt > BUSY_POLL_MS * 3) ||
      Math.abs(load - link.toldLoad) >= TOLD_CHANGE ||
      now - link.toldAt >= HEARTBEAT_MS;
    if (!isNews) return;
    const message: KeeperMessage = {
      kind: 'state',
      ...(holdings === link.toldHoldings ? {} : { holdings: report.holdings }),
      running: report.running,
      queued: report.queued,
      freeablePlaces: places,
      awaited: this.#places.awaited,
      fencingToken: this.#fencingToken,
    };
    link.toldHoldings = holdings;
    link.toldState = state;
    link.toldLoad = load;
    link.toldAt = now;
    link.connection.send(encodeMessage(message));
  }
}
