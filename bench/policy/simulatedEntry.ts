import { RetryBudget } from '../../core/admission/mod.ts';
import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { isRetryable } from '../../core/outcome/mod.ts';
import { RouteTable } from '../../core/placement/mod.ts';
import type { RouteTableOptions, ServerReport } from '../../core/placement/mod.ts';
import type { MeasureRecorder } from './measures.ts';
import type { OutcomeKind } from './outcomeKind.ts';
import { BASELINE_ROUTERS } from './baselineRouters.ts';
import type { BaselineName } from './baselineRouters.ts';
import type { RequestListener, SimulatedServer } from './simulatedServer.ts';
import type { Arrival, RandomSource } from './trace.ts';

/** Deadline of a request, counted from its arrival. */
export const REQUEST_TIMEOUT_MS: Milliseconds = 10_000;

const MAX_ATTEMPTS = 3;

/** How an entry routes: with a baseline or with the product's route table. */
export type RoutingStrategy =
  | { readonly kind: 'baseline'; readonly name: BaselineName }
  | { readonly kind: 'table'; readonly options: RouteTableOptions };

/** Options of `SimulatedEntry`. */
export type SimulatedEntryOptions = {
  readonly clock: Clock;
  readonly route: RoutingStrategy;
  readonly servers: readonly SimulatedServer[];
  readonly nextRandom: RandomSource;
  readonly recorder: MeasureRecorder;
  /** Requests that arrive before this time are not recorded. */
  readonly measuredFrom: Milliseconds;
  /** Returns whether the network path to a server is up. */
  readonly canReach: (server: SimulatedServer) => boolean;
  /** One-way delay to a server. */
  readonly delayMs: (server: SimulatedServer) => Milliseconds;
};

type OpenRequest = {
  readonly arrival: Arrival;
  readonly deadline: Milliseconds;
  readonly triedHosts: Set<string>;
  stallMs: Milliseconds;
  lastTokenAt: Milliseconds | undefined;
};

type KnownServer = { readonly server: SimulatedServer; load: number };

/** Simulates the routing and retries of one entry and records the results. */
export class SimulatedEntry {
  readonly #options: SimulatedEntryOptions;

  readonly #servers = new Map<string, KnownServer>();

  readonly #retryBudget = new RetryBudget();

  readonly #routeTable: RouteTable | undefined;

  constructor(options: SimulatedEntryOptions) {
    this.#options = options;
    const { route, servers, delayMs } = options;
    this.#routeTable = route.kind === 'table' ? new RouteTable(route.options) : undefined;
    servers.forEach((server) => {
      this.#servers.set(server.name, { server, load: 0 });
      this.#routeTable?.add(server.name, delayMs(server));
    });
  }

  /** Applies a server's load report. */
  applyReport(report: ServerReport): void {
    this.#routeTable?.applyReport(report);
    this.#servers.get(report.host)!.load = report.running + report.waiting;
  }

  /** Routes a request that arrives now. */
  accept(arrival: Arrival): void {
    this.#retryBudget.noteRequest();
    const deadline = arrival.at + REQUEST_TIMEOUT_MS;
    const triedHosts = new Set<string>();
    this.#send({ arrival, deadline, triedHosts, stallMs: 0, lastTokenAt: undefined });
  }

  #send(request: OpenRequest): void {
    const chosen = this.#chooseServer(request);
    if (chosen === undefined) {
      this.#recordOutcome(request, 'not-run');
      return;
    }
    chosen.load += 1;
    const { server } = chosen;
    const { arrival, deadline } = request;
    this.#routeTable?.recordSent(server.name, arrival.adapterVersion);
    const { clock, delayMs } = this.#options;
    clock.schedule(delayMs(server), () =>
      server.submit({ arrival, deadline, listener: this.#createListener(request, server) }),
    );
  }

  #chooseServer(request: OpenRequest): KnownServer | undefined {
    const { nextRandom, canReach, route } = this.#options;
    const { adapterVersion } = request.arrival;
    const mayTake = (host: string): boolean =>
      !request.triedHosts.has(host) && canReach(this.#servers.get(host)!.server);
    if (route.kind === 'table') {
      return this.#servers.get(this.#routeTable?.choose(adapterVersion, mayTake) ?? '');
    }
    const candidates = [...this.#servers]
      .filter(([host]) => mayTake(host))
      .map(([host, { load }]) => ({ host, load }));
    return this.#servers.get(
      BASELINE_ROUTERS[route.name]({ adapterVersion, candidates, nextRandom }) ?? '',
    );
  }

  #createListener(request: OpenRequest, server: SimulatedServer): RequestListener {
    return {
      onStarted: (loadStallMs) => {
        request.stallMs += loadStallMs;
      },
      onToken: () => this.#recordToken(request),
      onEnded: (outcome) => {
        this.#routeTable?.recordEnded(server.name, request.arrival.adapterVersion);
        this.#recordOutcome(request, outcome);
      },
      onRefused: (outcome, waitedMs) => {
        this.#routeTable?.recordEnded(server.name, request.arrival.adapterVersion);
        request.stallMs += waitedMs;
        request.triedHosts.add(server.name);
        const mayRetry = isRetryable(outcome) && request.triedHosts.size < MAX_ATTEMPTS;
        if (mayRetry && this.#retryBudget.tryRetry()) this.#send(request);
        else this.#recordOutcome(request, 'not-run');
      },
    };
  }

  #recordToken(request: OpenRequest): void {
    const now = this.#options.clock.now();
    const { arrival, lastTokenAt } = request;
    request.lastTokenAt = now;
    if (arrival.at < this.#options.measuredFrom) return;
    const { recorder } = this.#options;
    if (lastTokenAt === undefined) recorder.recordFirstToken(now - arrival.at);
    else recorder.recordBetweenTokens(now - lastTokenAt);
  }

  #recordOutcome(request: OpenRequest, outcome: OutcomeKind): void {
    if (request.arrival.at < this.#options.measuredFrom) return;
    this.#options.recorder.recordOutcome(outcome, request.stallMs);
  }
}
