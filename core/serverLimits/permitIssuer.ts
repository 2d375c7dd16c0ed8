import type { Milliseconds } from '../clock/mod.ts';
import { PermitBucket } from './_permitBucket.ts';
import type { PermitAnswer, PermitRequest } from './permitMessages.ts';

/** How many of the known processes are in touch with this one, itself included. */
export type Reach = { readonly known: number; readonly reachable: number };

/** A permit for a process that waited in the queue. */
export type PermitGrant = { readonly holder: string; readonly answer: PermitAnswer };

/** Options of `PermitIssuer`. */
export type PermitIssuerOptions = {
  /** Returns the requests a second that a server takes; `undefined` without a limit. */
  readonly rateOf: (server: string, now: Milliseconds) => number | undefined;
  readonly reach: () => Reach;
};

/** Share of a limit that is issued; the rest covers permits that are used late. */
const ISSUED_SHARE = 0.9;

/** Time in which another process may still issue permits for a server that this one has just taken over. */
const HANDOVER_MS: Milliseconds = 4000;

/** Share of the rate that is issued meanwhile. */
const HANDOVER_SHARE = 0.5;

/**
 * Rate of a partition relative to its share of the processes. However the fleet is split, all partitions
 * together issue at most this multiple of the limit.
 */
const PARTITION_FACTOR = 1.5;

/** Time without a request after which a server's state is dropped. */
const MAX_IDLE_MS: Milliseconds = 60_000;

/** Wait that is told at most. */
const MAX_WAIT_MS: Milliseconds = 30_000;

const MILLISECONDS_IN_SECOND = 1000;

/**
 * Issues the permits for servers with a limit, at no more than the limit over all processes.
 *
 * Among those that wait, the process whose last permit is the longest ago comes first, and more urgent
 * requests have a lead, so that none starves.
 */
export class PermitIssuer {
  readonly #options: PermitIssuerOptions;

  readonly #buckets = new Map<string, PermitBucket>();

  constructor(options: PermitIssuerOptions) {
    this.#options = options;
  }

  /** Whether any process waits for a permit. */
  get hasWaiting(): boolean {
    return [...this.#buckets.values()].some(({ waitingCount }) => waitingCount > 0);
  }

  /** Answers a request of a process; a further one for the same server replaces it. */
  request(holder: string, request: PermitRequest, now: Milliseconds): PermitAnswer {
    const { number, server, maxWaitMs } = request;
    const perSecond = this.#issueRate(server, now);
    if (perSecond === undefined) return { number, server, kind: 'granted', waitMs: 0 };
    const bucket = this.#bucketOf(server, now);
    const waiting = { ...request, holder, expiresAt: now + maxWaitMs };
    bucket.refill(perSecond, now);
    bucket.requestedAt = now;
    bucket.enqueue(waiting);
    const ahead = bucket.ordered.indexOf(waiting);
    if (ahead === 0 && bucket.tokens >= 1) return bucket.grant(waiting, now);
    const waitMs = ((ahead + 1 - bucket.tokens) / perSecond) * MILLISECONDS_IN_SECOND;
    if (waitMs <= maxWaitMs) return { number, server, kind: 'queued', waitMs };
    bucket.dequeue(holder);
    return { number, server, kind: 'denied', waitMs: Math.min(waitMs, MAX_WAIT_MS) };
  }

  /** Returns the permits that are free now. Call it often while any process waits. */
  tick(now: Milliseconds): readonly PermitGrant[] {
    return [...this.#buckets].flatMap(([server, bucket]) => {
      if (now - bucket.requestedAt > MAX_IDLE_MS) this.#buckets.delete(server);
      return this.#issue(server, bucket, now);
    });
  }

  /** Forgets a server that was removed. */
  forget(server: string): void {
    this.#buckets.delete(server);
  }

  #issue(server: string, bucket: PermitBucket, now: Milliseconds): readonly PermitGrant[] {
    bucket.dropExpired(now);
    const perSecond = this.#issueRate(server, now);
    if (perSecond !== undefined) bucket.refill(perSecond, now);
    const free = perSecond === undefined ? bucket.waitingCount : Math.floor(bucket.tokens);
    return bucket.ordered
      .slice(0, free)
      .map((waiting) => ({ holder: waiting.holder, answer: bucket.grant(waiting, now) }));
  }

  #bucketOf(server: string, now: Milliseconds): PermitBucket {
    const bucket = this.#buckets.get(server) ?? new PermitBucket(now);
    this.#buckets.set(server, bucket);
    return bucket;
  }

  /** Permits a second that this process may issue for a server; `undefined` without a limit. */
  #issueRate(server: string, now: Milliseconds): number | undefined {
    const limit = this.#options.rateOf(server, now);
    if (limit === undefined) return undefined;
    const createdAt = this.#buckets.get(server)?.createdAt ?? now;
    const handover = now - createdAt < HANDOVER_MS ? HANDOVER_SHARE : 1;
    const { known, reachable } = this.#options.reach();
    const partition = Math.min(1, (PARTITION_FACTOR * reachable) / Math.max(1, known));
    return limit * ISSUED_SHARE * handover * partition;
  }
}
