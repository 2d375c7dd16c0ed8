import type { Milliseconds } from '../clock/mod.ts';
import { rendezvousOrder } from '../placement/mod.ts';
import type { PermitAnswer, PermitRequest } from './permitMessages.ts';

/** What a permit is wanted for. */
export type PermitDemand = Pick<PermitRequest, 'priority' | 'maxWaitMs'>;

/** Options of `PermitHolder`. */
export type PermitHolderOptions = {
  /** Name of this process among its peers. */
  readonly self: string;
  /** Returns the names of the other live processes. */
  readonly peers: () => readonly string[];
  /** Sends a request to an issuer, which may be this process. */
  readonly send: (issuer: string, request: PermitRequest) => void;
  /** Called when an issuer does not answer. */
  readonly onSilent: (issuer: string) => void;
};

/** Time within which a permit must be used. */
const PERMIT_VALID_MS: Milliseconds = 400;

/** Time within which an issuer answers. */
const ANSWER_TIMEOUT_MS: Milliseconds = 300;

/** Time for which an issuer that did not answer is passed over. */
const SILENT_ISSUER_MS: Milliseconds = 5000;

/** Longest time for which no permit is requested after a denial. */
const MAX_BACKOFF_MS: Milliseconds = 1000;

type Pending = PermitRequest & { readonly sentAt: Milliseconds; isQueued: boolean };

type ServerState = {
  /** When the permits at hand expire. */
  permits: readonly Milliseconds[];
  pending: (Pending & { readonly issuer: string }) | undefined;
  /** When the next request for a permit may be sent. */
  nextRequestAt: Milliseconds;
  /** When a permit is expected. */
  expectedAt: Milliseconds;
};

/**
 * The permits of one process for servers with a limit, and its requests for more.
 *
 * The first process in rendezvous order issues the permits of a server, so that all agree without an
 * election; one that does not answer is passed over for some time.
 */
export class PermitHolder {
  readonly #options: PermitHolderOptions;

  readonly #states = new Map<string, ServerState>();

  /** Until when silent issuers are passed over. */
  readonly #silentUntil = new Map<string, Milliseconds>();

  #nextNumber = 0;

  constructor(options: PermitHolderOptions) {
    this.#options = options;
  }

  /** Whether a request may be sent to a server now. */
  has(server: string, now: Milliseconds): boolean {
    return this.#valid(server, now).length > 0;
  }

  /** Uses a permit for a request that is sent. Returns whether there was one. */
  take(server: string, now: Milliseconds): boolean {
    const [first, ...rest] = this.#valid(server, now);
    if (first === undefined) return false;
    this.#stateOf(server).permits = rest;
    return true;
  }

  /** Expected time until a permit for a server is free; 0 if nothing is known. */
  waitMs(server: string, now: Milliseconds): Milliseconds {
    return Math.max(0, (this.#states.get(server)?.expectedAt ?? now) - now);
  }

  /** Requests a permit, unless one is at hand, has been requested or was denied just now. */
  request(server: string, demand: PermitDemand, now: Milliseconds): void {
    const state = this.#stateOf(server);
    if (this.has(server, now) || state.pending !== undefined || now < state.nextRequestAt) return;
    this.#nextNumber += 1;
    const request = { number: this.#nextNumber, server, ...demand };
    const issuer = this.#issuerOf(server, now);
    state.pending = { ...request, issuer, sentAt: now, isQueued: false };
    this.#options.send(issuer, request);
  }

  /** Returns the requests to an issuer that it has not answered, to send them again on a new link. */
  unansweredBy(issuer: string): readonly PermitRequest[] {
    return [...this.#states.values()].flatMap(({ pending }) =>
      pending?.issuer === issuer && !pending.isQueued ? [pending] : [],
    );
  }

  /** Applies an answer of an issuer. Returns whether it is a permit. */
  applyAnswer(answer: PermitAnswer, now: Milliseconds): boolean {
    const state = this.#states.get(answer.server);
    const pending = state?.pending;
    // A permit that was requested long ago may be one too many by now.
    if (state === undefined || pending?.number !== answer.number) return false;
    state.expectedAt = now + answer.waitMs;
    if (answer.kind === 'queued') {
      pending.isQueued = true;
      return false;
    }
    state.pending = undefined;
    if (answer.kind === 'denied') {
      state.nextRequestAt = now + Math.min(answer.waitMs, MAX_BACKOFF_MS);
      return false;
    }
    state.permits = [...this.#valid(answer.server, now), now + PERMIT_VALID_MS];
    return true;
  }

  /** Gives up requests without an answer. Call it several times a second. */
  tick(now: Milliseconds): void {
    this.#states.forEach((state) => {
      const { pending } = state;
      if (pending === undefined) return;
      const answerDueMs = pending.isQueued ? pending.maxWaitMs : 0;
      if (now - pending.sentAt <= answerDueMs + ANSWER_TIMEOUT_MS) return;
      state.pending = undefined;
      if (pending.isQueued || pending.issuer === this.#options.self) return;
      this.#silentUntil.set(pending.issuer, now + SILENT_ISSUER_MS);
      this.#options.onSilent(pending.issuer);
    });
    this.#silentUntil.forEach((until, issuer) => {
      if (until <= now) this.#silentUntil.delete(issuer);
    });
  }

  /** Forgets a server that was removed. */
  forget(server: string): void {
    this.#states.delete(server);
  }

  #valid(server: string, now: Milliseconds): readonly Milliseconds[] {
    return (this.#states.get(server)?.permits ?? []).filter((expiresAt) => expiresAt > now);
  }

  #stateOf(server: string): ServerState {
    let state = this.#states.get(server);
    if (state === undefined) {
      state = { permits: [], pending: undefined, nextRequestAt: 0, expectedAt: 0 };
      this.#states.set(server, state);
    }
    return state;
  }

  #issuerOf(server: string, now: Milliseconds): string {
    const { self, peers } = this.#options;
    const candidates = [self, ...peers()];
    const answering = candidates.filter((name) => (this.#silentUntil.get(name) ?? 0) <= now);
    return rendezvousOrder(server, answering)[0] ?? self;
  }
}
