import type { Milliseconds } from '../clock/mod.ts';

/** A prompt that was sent to a server. */
export type SentPrefill = {
  readonly serverId: string;
  readonly promptTokens: number;
  /** Time from the end of the prefill to the first event: the steps of one event. */
  readonly firstEventMs: Milliseconds;
};

type ServerPrefill = {
  /** Prompt tokens whose first event has not arrived. */
  outstandingTokens: number;
  tokensPerMs: number;
};

type Outstanding = SentPrefill & {
  readonly sentAt: Milliseconds;
  /** Tokens to be prefilled when it was sent, its own included. */
  readonly tokensAhead: number;
};

/** Prefill speed assumed for a server before its first events: a slow one. */
const INITIAL_TOKENS_PER_MS = 25;

/** Prompt tokens below which a first event tells nothing of the prefill speed. */
const MIN_SAMPLE_TOKENS = 500;

/** Weight of the newest sample of the prefill speed. */
const SPEED_WEIGHT = 0.1;

/** Range of samples; those outside come from a queue at the server or from cached prefixes. */
const SAMPLE_RANGE = { least: 5, most: 100 } as const;

/** Prefill that this entry's requests still need at each server, and the servers' prefill speeds. */
export class PrefillLoad<Key> {
  readonly #servers = new Map<string, ServerPrefill>();

  readonly #outstanding = new Map<Key, Outstanding>();

  /** Records that a request was sent to a server. */
  noteSent(key: Key, sent: SentPrefill, now: Milliseconds): void {
    this.noteEnded(key);
    if (sent.promptTokens <= 0) return;
    const server = this.#serverOf(sent.serverId);
    server.outstandingTokens += sent.promptTokens;
    this.#outstanding.set(key, { ...sent, sentAt: now, tokensAhead: server.outstandingTokens });
  }

  /** Records the first event of a response. Returns whether prefill was outstanding for it. */
  noteFirstEvent(key: Key, now: Milliseconds): boolean {
    const sent = this.#outstanding.get(key);
    if (sent === undefined) return false;
    this.noteEnded(key);
    const tookMs = now - sent.sentAt - sent.firstEventMs;
    if (sent.tokensAhead < MIN_SAMPLE_TOKENS || tookMs <= 0) return true;
    const server = this.#serverOf(sent.serverId);
    const { least, most } = SAMPLE_RANGE;
    const sample = Math.min(most, Math.max(least, sent.tokensAhead / tookMs));
    server.tokensPerMs += (sample - server.tokensPerMs) * SPEED_WEIGHT;
    return true;
  }

  /** Records the end of a request, or of an attempt. Returns whether prefill was outstanding for it. */
  noteEnded(key: Key): boolean {
    const sent = this.#outstanding.get(key);
    if (sent === undefined) return false;
    this.#outstanding.delete(key);
    const server = this.#serverOf(sent.serverId);
    server.outstandingTokens = Math.max(0, server.outstandingTokens - sent.promptTokens);
    return true;
  }

  /** Forgets a removed server. */
  forget(serverId: string): void {
    for (const [key, sent] of this.#outstanding) {
      if (sent.serverId === serverId) this.#outstanding.delete(key);
    }
    this.#servers.delete(serverId);
  }

  /** Returns the prompt tokens of this entry that a server has still to prefill. */
  outstandingTokens(serverId: string): number {
    return this.#servers.get(serverId)?.outstandingTokens ?? 0;
  }

  /** Returns the prompt tokens that a server prefills in a millisecond. */
  tokensPerMs(serverId: string): number {
    return this.#servers.get(serverId)?.tokensPerMs ?? INITIAL_TOKENS_PER_MS;
  }

  /** Returns the time that a server takes for the prefill of some tokens. */
  prefillMs(serverId: string, tokens: number): Milliseconds {
    return tokens / (this.#servers.get(serverId)?.tokensPerMs ?? INITIAL_TOKENS_PER_MS);
  }

  /** Returns the time that a server takes for the prefill that is outstanding. */
  outstandingMs(serverId: string): Milliseconds {
    return this.prefillMs(serverId, this.#servers.get(serverId)?.outstandingTokens ?? 0);
  }

  #serverOf(id: string): ServerPrefill {
    const known = this.#servers.get(id);
    if (known !== undefined) return known;
    const server = { outstandingTokens: 0, tokensPerMs: INITIAL_TOKENS_PER_MS };
    this.#servers.set(id, server);
    return server;
  }
}
