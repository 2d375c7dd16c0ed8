import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { TokenLimit } from '../../core/serving/mod.ts';
import {
  HEARD_MAX_AGE_MS,
  TokenLimitHolder,
  TokenLimitIssuer,
} from '../../core/tokenLimits/mod.ts';
import type {
  LeaseRequest,
  LimitBounds,
  TokenDecision,
  TokenDemand,
  TokenRefusal,
  TokenUse,
} from '../../core/tokenLimits/mod.ts';
import { limitLogRate } from '../../log/mod.ts';
import type { Log } from '../../log/mod.ts';
import type { Metrics } from '../../metrics/mod.ts';
import { ReconnectingLinks } from '../links/mod.ts';
import type { Dial } from '../ports/mod.ts';
import { repeatSteps } from '../_repeatSteps.ts';
import { decodePeerMessage, encodePeerMessage } from './_peerMessages.ts';
import type { LeaseRequestMessage } from './_peerMessages.ts';

/** Options of `TokenLimitTask`. */
export type TokenLimitTaskOptions = {
  /** Name of this entry among its peers: the address at which they reach it. */
  readonly self: string;
  /**
   * Returns the addresses of the other entries.
   *
   * @param maxAgeMs Age of the last sign of an entry up to which it is returned. @default as long as it is listed
   */
  readonly peers: (maxAgeMs?: Milliseconds) => readonly string[];
  /** Returns the capacity of an entry; 0 if it is unknown. @default always unknown */
  readonly capacityOf?: ((address: string) => number) | undefined;
  readonly bounds: LimitBounds;
  /** Number of entries assumed until more are known. @default 1 */
  readonly minKnown?: number | undefined;
  /** Returns the limit of a tenant; `undefined` without one. */
  readonly limitOf: (tenant: string) => TokenLimit | undefined;
  readonly clock: Clock;
  readonly dial: Dial;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Called when requests of a tenant that wait should be tried again. */
  readonly onAnswer: (tenant: string) => void;
};

/** Interval of the checks for low leases and silent issuers, and the same while no tenant is in use. */
const TICK_INTERVAL_MS: Milliseconds = 25;
const IDLE_INTERVAL_MS: Milliseconds = 200;

/** Time without a request after which the link to an issuer is closed. */
const LINK_IDLE_MS: Milliseconds = 20_000;

/** Time without a message from an issuer that does not answer after which its link is opened anew. */
const LINK_SILENCE_MS: Milliseconds = 1500;

/** Time for opening a link: a busy issuer takes some turns of its event loop for it. */
const REDIAL_DELAY_MS: Milliseconds = 3000;

/** Interval of the log of silent issuers. */
const LOG_INTERVAL_MS: Milliseconds = 5000;

/** Asks for leases on the tokens of tenants over links between entries, and issues those of which this entry is in charge. */
export class TokenLimitTask {
  readonly #options: TokenLimitTaskOptions;

  readonly #holder: TokenLimitHolder;

  readonly #issuer: TokenLimitIssuer;

  readonly #links: ReconnectingLinks;

  /** When each issuer was last sent a request. */
  readonly #usedAt = new Map<string, Milliseconds>();

  /** When each issuer was last heard of, or its link opened. */
  readonly #heardAt = new Map<string, Milliseconds>();

  #cancelTick: Cancellation | undefined;

  constructor(options: TokenLimitTaskOptions) {
    const { self, peers, bounds, clock, dial, log, metrics, limitOf, capacityOf } = options;
    const rateLimitedLog = limitLogRate(log, clock, LOG_INTERVAL_MS);
    this.#options = options;
    this.#holder = new TokenLimitHolder({
      self,
      bounds,
      peers: () => peers(HEARD_MAX_AGE_MS),
      capacityOf,
      send: (issuer, request) => this.#send(issuer, request),
      onSilent: (issuer, tenant) => {
        this.#closeSilent(issuer);
        rateLimitedLog('tokenIssuerSilent', { address: issuer, tenant });
      },
      onLease: (result, tookMs) => {
        metrics.count('token_leases_total', { result });
        metrics.record('token_lease_ms', tookMs);
      },
    });
    this.#issuer = new TokenLimitIssuer({
      self,
      bounds,
      limitOf,
      startedAt: clock.now(),
      minKnown: options.minKnown ?? 1,
      capacityOf,
      fleet: () => ({ known: peers(), heard: peers(HEARD_MAX_AGE_MS) }),
    });
    this.#links = new ReconnectingLinks({
      clock,
      dial,
      // Issuers say nothing unless they are asked; the holder notices a missing answer.
      silenceMs: Infinity,
      redialDelayMs: REDIAL_DELAY_MS,
      onOpen: (address) => {
        this.#heardAt.set(address, clock.now());
        this.#holder
          .unansweredBy(address)
          .forEach((request) => this.#links.send(address, this.#encode(request)));
      },
      onMessage: (address, bytes) => this.#receive(address, bytes),
      onLost: (address, reason) => log('peerLost', { address, reason }),
    });
  }

  /** Number of tenants whose tokens this entry issues. */
  get issuedTenantCount(): number {
    return this.#issuer.size;
  }

  /** Starts to ask for tokens in advance. */
  start(): void {
    const { clock, log } = this.#options;
    this.#cancelTick = repeatSteps({
      task: 'token-limits',
      clock,
      log,
      intervalMs: () => (this.#holder.size > 0 ? TICK_INTERVAL_MS : IDLE_INTERVAL_MS),
      steps: [() => this.#tick()],
    });
  }

  /** Closes all links. */
  close(): void {
    this.#cancelTick?.();
    this.#links.closeAll();
  }

  /** Spends the tokens of a request, if there are any. */
  take(demand: TokenDemand): TokenDecision {
    return this.#holder.take(demand, this.#options.clock.now());
  }

  /** Spends the tokens of a request that runs once more. */
  spendAgain(demand: TokenDemand): void {
    this.#holder.spendAgain(demand, this.#options.clock.now());
  }

  /** Gives back the tokens of a request that did not run. */
  giveBack(tenant: string, tokens: number, spentAt: Milliseconds): void {
    this.#holder.giveBack(tenant, tokens, spentAt, this.#options.clock.now());
  }

  /** Refuses a request that has waited for too long. */
  refuseWaiting(demand: TokenDemand): TokenRefusal {
    return this.#holder.refuseWaiting(demand, this.#options.clock.now());
  }

  /** Returns the use of each limit at this entry. */
  uses(): readonly TokenUse[] {
    return this.#holder.uses(this.#options.clock.now());
  }

  /** Answers another entry's request for a lease. */
  handleRequest(message: LeaseRequestMessage, reply: (bytes: Uint8Array) => void): void {
    const [number, tenant, wanted, needed, weight, returned, refunded] = message.lease;
    const request = { number, tenant, wanted, needed, weight, returned, refunded };
    const answer = this.#issuer.request(message.from, request, this.#options.clock.now());
    const { isReady, tokens, isShort, waitMs } = answer;
    reply(
      encodePeerMessage({
        kind: 'lease-answer',
        lease: [number, tenant, isReady, tokens, isShort, Math.round(waitMs)],
      }),
    );
  }

  /** Closes an open link to an issuer that has been silent for long; the next request opens a new one. */
  #closeSilent(issuer: string): void {
    if (!this.#links.isOpen(issuer)) return;
    const heardAt = this.#heardAt.get(issuer) ?? -Infinity;
    if (this.#options.clock.now() - heardAt > LINK_SILENCE_MS) this.#close(issuer);
  }

  #tick(): void {
    const now = this.#options.clock.now();
    this.#issuer.tick(now);
    this.#holder.tick(now).forEach((tenant) => this.#options.onAnswer(tenant));
    this.#links.tick();
    this.#usedAt.forEach((usedAt, address) => {
      if (now - usedAt > LINK_IDLE_MS) this.#close(address);
    });
  }

  #close(address: string): void {
    this.#usedAt.delete(address);
    this.#heardAt.delete(address);
    this.#links.close(address);
  }

  #send(issuer: string, request: LeaseRequest): void {
    const { self, clock } = this.#options;
    const now = clock.now();
    if (issuer === self) {
      // Whoever asked looks for the tokens itself.
      this.#holder.applyAnswer(this.#issuer.request(self, request, now), now);
      return;
    }
    this.#usedAt.set(issuer, now);
    this.#links.open(issuer);
    if (this.#links.isOpen(issuer)) this.#links.send(issuer, this.#encode(request));
  }

  #encode(request: LeaseRequest): Uint8Array {
    const { number, tenant, wanted, needed, weight, returned, refunded } = request;
    return encodePeerMessage({
      kind: 'lease-request',
      from: this.#options.self,
      lease: [number, tenant, wanted, needed, weight, returned, refunded],
    });
  }

  #receive(address: string, bytes: Uint8Array): void {
    const message = decodePeerMessage(bytes);
    if (message?.kind !== 'lease-answer') {
      this.#options.log('messageUnreadable', { from: address, bytes: bytes.length });
      return;
    }
    this.#heardAt.set(address, this.#options.clock.now());
    const [number, tenant, isReady, tokens, isShort, waitMs] = message.lease;
    const answer = { number, tenant, isReady, tokens, isShort, waitMs };
    if (this.#holder.applyAnswer(answer, this.#options.clock.now())) this.#options.onAnswer(tenant);
  }
}
