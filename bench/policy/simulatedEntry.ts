import { RetryBudget } from '../../core/admission/mod.ts';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { isRetryable } from '../../core/outcome/mod.ts';
import { RouteTable } from '../../core/placement/mod.ts';
import type { RouteTableOptions, ServerReport } from '../../core/placement/mod.ts';
import type { MeasureRecorder } from './measures.ts';
import type { OutcomeKind } from './outcomeKind.ts';
import { ROUTES } from './routes.ts';
import type { BaselineRoute } from './routes.ts';
import type { ServerNews, SimulatedServer } from './simulatedServer.ts';
import type { Arrival, Draw } from './trace.ts';

/** Time that a caller allows one request. */
export const TIMEOUT_MS: Milliseconds = 10_000;

const ATTEMPTS = 3;

/** How an entry routes: as a baseline does, or by the product's table. */
export type Route =
  | { readonly kind: 'baseline'; readonly name: BaselineRoute }
  | { readonly kind: 'table'; readonly options: RouteTableOptions };

/** How to build a `SimulatedEntry`. */
export type SimulatedEntryOptions = {
  readonly clock: Clock;
  readonly route: Route;
  readonly servers: readonly SimulatedServer[];
  readonly draw: Draw;
  readonly recorder: MeasureRecorder;
  readonly measuredFrom: Milliseconds;
  /** Tells whether a server can be reached now. */
  readonly reaches: (server: SimulatedServer) => boolean;
  /** One-way delay to a server. */
  readonly delayMs: (server: SimulatedServer) => Milliseconds;
};

type Open = {
  readonly arrival: Arrival;
  readonly deadline: Milliseconds;
  readonly tried: Set<string>;
  stallMs: Milliseconds;
  lastTokenAt: Milliseconds | undefined;
};

type Peer = { readonly server: SimulatedServer; load: number };

/** One entry's routing, retries and records. */
export class SimulatedEntry {
  readonly #options: SimulatedEntryOptions;

  readonly #peers = new Map<string, Peer>();

  readonly #retries = new RetryBudget();

  readonly #table: RouteTable | undefined;

  constructor(options: SimulatedEntryOptions) {
    this.#options = options;
    const { route, servers, delayMs } = options;
    this.#table = route.kind === 'table' ? new RouteTable(route.options) : undefined;
    servers.forEach((server) => {
      this.#peers.set(server.name, { server, load: 0 });
      this.#table?.add(server.name, delayMs(server));
    });
  }

  /** Takes a server's report. */
  note(report: ServerReport): void {
    this.#table?.applyReport(report);
    this.#peers.get(report.host)!.load = report.running + report.waiting;
  }

  /** Serves a request. */
  accept(arrival: Arrival): void {
    this.#retries.noteRequest();
    const deadline = arrival.at + TIMEOUT_MS;
    const tried = new Set<string>();
    this.#send({ arrival, deadline, tried, stallMs: 0, lastTokenAt: undefined });
  }

  #send(open: Open): void {
    const peer = this.#choose(open);
    if (peer === undefined) {
      this.#finish(open, 'not-run');
      return;
    }
    peer.load += 1;
    const { server } = peer;
    const { arrival, deadline } = open;
    this.#table?.recordSent(server.name, arrival.adapterVersion);
    const { clock, delayMs } = this.#options;
    clock.schedule(delayMs(server), () =>
      server.submit({ arrival, deadline, news: this.#news(open, server) }),
    );
  }

  #choose(open: Open): Peer | undefined {
    const { draw, reaches, route } = this.#options;
    const { adapterVersion } = open.arrival;
    const mayTake = (host: string): boolean =>
      !open.tried.has(host) && reaches(this.#peers.get(host)!.server);
    if (route.kind === 'table') {
      return this.#peers.get(this.#table?.choose(adapterVersion, mayTake) ?? '');
    }
    const candidates = [...this.#peers]
      .filter(([host]) => mayTake(host))
      .map(([host, { load }]) => ({ host, load }));
    return this.#peers.get(ROUTES[route.name]({ adapterVersion, candidates, draw }) ?? '');
  }

  #news(open: Open, server: SimulatedServer): ServerNews {
    return {
      started: (loadStallMs) => {
        open.stallMs += loadStallMs;
      },
      token: () => this.#noteToken(open),
      ended: (outcome) => {
        this.#table?.recordEnded(server.name, open.arrival.adapterVersion);
        this.#finish(open, outcome);
      },
      refused: (outcome, waitedMs) => {
        this.#table?.recordEnded(server.name, open.arrival.adapterVersion);
        open.stallMs += waitedMs;
        open.tried.add(server.name);
        const mayRetry = isRetryable(outcome) && open.tried.size < ATTEMPTS;
        if (mayRetry && this.#retries.tryRetry()) this.#send(open);
        else this.#finish(open, 'not-run');
      },
    };
  }

  #noteToken(open: Open): void {
    const now = this.#options.clock.now();
    const { arrival, lastTokenAt } = open;
    open.lastTokenAt = now;
    if (arrival.at < this.#options.measuredFrom) return;
    const { recorder } = this.#options;
    if (lastTokenAt === undefined) recorder.recordFirstToken(now - arrival.at);
    else recorder.recordBetweenTokens(now - lastTokenAt);
  }

  #finish(open: Open, outcome: OutcomeKind): void {
    if (open.arrival.at < this.#options.measuredFrom) return;
    this.#options.recorder.recordOutcome(outcome, open.stallMs);
  }
}
