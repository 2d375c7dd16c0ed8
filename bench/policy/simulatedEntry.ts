import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { isRetryable } from '../../core/outcome/mod.ts';
import type { Candidate } from '../../core/placement/mod.ts';
import type { MeasureRecorder } from './measures.ts';
import type { OutcomeKind } from './outcomeKind.ts';
import { ROUTES } from './routes.ts';
import type { RouteKind } from './routes.ts';
import type { ServerNews, SimulatedServer } from './simulatedServer.ts';
import type { Arrival, Draw } from './trace.ts';

/** Time that a caller allows one request. */
export const TIMEOUT_MS: Milliseconds = 10_000;

const ATTEMPTS = 3;

/** How to build a `SimulatedEntry`. */
export type SimulatedEntryOptions = {
  readonly clock: Clock;
  readonly route: RouteKind;
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

/** What a server's report says. */
export type ServerReport = Omit<Candidate, 'isResident'> & {
  readonly resident: ReadonlySet<string>;
};

type Peer = { readonly server: SimulatedServer; readonly report: ServerReport; sentSince: number };

/** One entry's routing, retries and records. */
export class SimulatedEntry {
  readonly #options: SimulatedEntryOptions;

  readonly #peers = new Map<string, Peer>();

  constructor(options: SimulatedEntryOptions) {
    this.#options = options;
  }

  /** Takes a server's report. */
  note(server: SimulatedServer, report: ServerReport): void {
    this.#peers.set(server.name, { server, report, sentSince: 0 });
  }

  /** Serves a request. */
  accept(arrival: Arrival): void {
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
    peer.sentSince += 1;
    const { server } = peer;
    const { arrival, deadline } = open;
    const { clock, delayMs } = this.#options;
    clock.schedule(delayMs(server), () =>
      server.submit({ arrival, deadline, news: this.#news(open, server) }),
    );
  }

  #choose(open: Open): Peer | undefined {
    const { draw, reaches, route } = this.#options;
    const candidates = [...this.#peers.values()]
      .filter(({ server }) => !open.tried.has(server.name) && reaches(server))
      .map(({ report, sentSince }) => ({
        ...report,
        waiting: report.waiting + sentSince,
        isResident: report.resident.has(open.arrival.adapterVersion),
      }));
    const { adapterVersion } = open.arrival;
    return this.#peers.get(ROUTES[route]({ adapterVersion, candidates, draw }) ?? '');
  }

  #news(open: Open, server: SimulatedServer): ServerNews {
    return {
      started: (loadStallMs) => {
        open.stallMs += loadStallMs;
      },
      token: () => this.#noteToken(open),
      ended: (outcome) => this.#finish(open, outcome),
      refused: (outcome, waitedMs) => {
        open.stallMs += waitedMs;
        open.tried.add(server.name);
        if (isRetryable(outcome) && open.tried.size < ATTEMPTS) this.#send(open);
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
