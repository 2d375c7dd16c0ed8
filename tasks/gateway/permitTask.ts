import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import { PermitHolder, PermitIssuer } from '../../core/serverLimits/mod.ts';
import type {
  LimitRegistry,
  PermitAnswer,
  PermitDemand,
  PermitRequest,
  Reach,
} from '../../core/serverLimits/mod.ts';
import type { Log } from '../../log/mod.ts';
import { ReconnectingLinks } from '../links/mod.ts';
import type { Dial } from '../ports/mod.ts';
import { repeatSteps } from '../_repeatSteps.ts';
import { decodePeerMessage, encodePeerMessage } from './_peerMessages.ts';
import type { PermitRequestMessage } from './_peerMessages.ts';

/** Options of `PermitTask`. */
export type PermitTaskOptions = {
  /** Name of this entry among its peers: the address at which they reach it. */
  readonly self: string;
  /** Returns the addresses of the other live entries. */
  readonly peers: () => readonly string[];
  readonly reach: () => Reach;
  readonly registry: LimitRegistry;
  readonly clock: Clock;
  readonly dial: Dial;
  readonly log: Log;
  /** Called with the answer to a request for a permit, also with permits for which it had to wait. */
  readonly onAnswer: (answer: PermitAnswer) => void;
};

/** Interval at which permits are issued while any entry waits. */
const ISSUE_INTERVAL_MS: Milliseconds = 20;

/** Interval of the other checks. */
const IDLE_INTERVAL_MS: Milliseconds = 100;

/** Time without a request for a permit after which the link to an issuer is closed. */
const LINK_IDLE_MS: Milliseconds = 1200;

/** Requests permits from the entries that issue them, and issues those of which this entry is in charge. */
export class PermitTask {
  readonly #options: PermitTaskOptions;

  readonly #holder: PermitHolder;

  readonly #issuer: PermitIssuer;

  readonly #links: ReconnectingLinks;

  /** When each issuer was last sent a request. */
  readonly #usedAt = new Map<string, Milliseconds>();

  /** How to answer each entry: on the connection of its latest request. */
  readonly #replies = new Map<string, (bytes: Uint8Array) => void>();

  #cancelTick: Cancellation | undefined;

  constructor(options: PermitTaskOptions) {
    const { self, peers, reach, registry, clock, dial, log } = options;
    this.#options = options;
    this.#holder = new PermitHolder({
      self,
      peers,
      send: (issuer, request) => this.#send(issuer, request),
      onSilent: (issuer) => log('permitIssuerSilent', { address: issuer }),
    });
    this.#issuer = new PermitIssuer({
      rateOf: (server, now) => registry.rateOf(server, now),
      reach,
    });
    this.#links = new ReconnectingLinks({
      clock,
      dial,
      onOpen: (address) => this.#resend(address),
      onMessage: (address, bytes) => this.#receiveAnswer(address, bytes),
      onLost: (address, reason) => log('peerLost', { address, reason }),
    });
  }

  /** Starts to issue permits. */
  start(): void {
    const { clock, log } = this.#options;
    this.#cancelTick = repeatSteps({
      task: 'permits',
      clock,
      log,
      intervalMs: () => (this.#issuer.hasWaiting ? ISSUE_INTERVAL_MS : IDLE_INTERVAL_MS),
      steps: [() => this.#tick()],
    });
  }

  /** Closes all links. */
  close(): void {
    this.#cancelTick?.();
    this.#links.closeAll();
  }

  /** Whether a request may be sent to a server with a limit now. */
  has(server: string): boolean {
    return this.#holder.has(server, this.#options.clock.now());
  }

  /** Uses a permit for a request that is sent. Returns whether there was one. */
  take(server: string): boolean {
    return this.#holder.take(server, this.#options.clock.now());
  }

  /** Expected time until a permit for a server is free; 0 if nothing is known. */
  waitMs(server: string): Milliseconds {
    return this.#holder.waitMs(server, this.#options.clock.now());
  }

  /** Requests a permit, unless one is at hand, has been requested or was denied just now. */
  request(server: string, demand: PermitDemand): void {
    this.#holder.request(server, demand, this.#options.clock.now());
  }

  /** Answers another entry's request for a permit. */
  handleRequest(message: PermitRequestMessage, reply: (bytes: Uint8Array) => void): void {
    const { from, request, limit } = message;
    const now = this.#options.clock.now();
    if (limit !== undefined) this.#options.registry.applyUpdate([limit], now);
    this.#replies.set(from, reply);
    this.#answer(from, this.#issuer.request(from, request, now));
  }

  /** Forgets a server that was removed. */
  forget(server: string): void {
    this.#holder.forget(server);
    this.#issuer.forget(server);
  }

  #tick(): void {
    const now = this.#options.clock.now();
    this.#options.registry.tick(now);
    this.#holder.tick(now);
    this.#issuer.tick(now).forEach(({ holder, answer }) => this.#answer(holder, answer));
    this.#links.tick();
    this.#usedAt.forEach((usedAt, address) => {
      if (now - usedAt <= LINK_IDLE_MS) return;
      this.#usedAt.delete(address);
      this.#links.close(address);
    });
    const live = new Set(this.#options.peers());
    this.#replies.forEach((_, holder) => {
      if (!live.has(holder)) this.#replies.delete(holder);
    });
  }

  #send(issuer: string, request: PermitRequest): void {
    const { self, clock } = this.#options;
    const now = clock.now();
    if (issuer === self) {
      // The caller of `request` looks for the permit itself.
      this.#holder.applyAnswer(this.#issuer.request(self, request, now), now);
      return;
    }
    this.#usedAt.set(issuer, now);
    this.#links.open(issuer);
    if (this.#links.isOpen(issuer)) this.#links.send(issuer, this.#encode(request));
  }

  #resend(issuer: string): void {
    this.#holder
      .unansweredBy(issuer)
      .forEach((request) => this.#links.send(issuer, this.#encode(request)));
  }

  #encode({ number, server, priority, maxWaitMs }: PermitRequest): Uint8Array {
    const { self, registry, clock } = this.#options;
    return encodePeerMessage({
      kind: 'permit-request',
      from: self,
      request: { number, server, priority, maxWaitMs },
      limit: registry.recordOf(server, clock.now()),
    });
  }

  #answer(holder: string, answer: PermitAnswer): void {
    if (holder === this.#options.self) this.#applyAnswer(answer);
    else this.#replies.get(holder)?.(encodePeerMessage({ kind: 'permit-answer', answer }));
  }

  #receiveAnswer(address: string, bytes: Uint8Array): void {
    const message = decodePeerMessage(bytes);
    if (message?.kind !== 'permit-answer') {
      this.#options.log('messageUnreadable', { from: address, bytes: bytes.length });
      return;
    }
    this.#applyAnswer(message.answer);
  }

  #applyAnswer(answer: PermitAnswer): void {
    this.#holder.applyAnswer(answer, this.#options.clock.now());
    this.#options.onAnswer(answer);
  }
}
